package disp

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/pkg/verd"
)

// A resend finds the entry of the first request. A request that has not run leaves no entry.
func TestDedupTableRemembers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewDedupTable()
	r := Request{Service: "plan", Slot: 1, ID: "r", Token: "t1", Fingerprint: 7}
	entry, isFirst := table.begin(now, r)
	is.True(isFirst)
	_, isFirst = table.begin(now, r)
	is.True(!isFirst)
	is.Equal(len(table.Export("plan", []int{1})), 1)
	is.True(table.Export("plan", []int{1})[0].Running)
	table.finish(entry, notRun("x"))
	is.Equal(table.Len(), 0)
	entry, isFirst = table.begin(now, r)
	is.True(isFirst)
	table.finish(entry, unknown("x"))
	is.True(table.outcome(entry, r).Replayed)
	other := r
	other.Fingerprint = 8
	is.Equal(table.outcome(entry, other).Status, 422) // the id was used for another request
	table.Merge(now.Add(2*KeepOutcomes), "h", Record{Service: "plan", ID: "later"})
	is.Equal(table.Len(), 1) // the old entry has expired
}

// Many refused non-idempotent requests evict no outcome from the deduplication table.
func TestRefusalsEvictNothing(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewDedupTable()
	table.maxRecords = 5000
	r := Request{Service: "plan", ID: "first"}
	entry, _ := table.begin(now, r)
	table.finish(entry, Outcome{Verdict: verd.Ran, Status: 200})
	for i := range 2 * table.maxRecords {
		refusal, _ := table.begin(now.Add(time.Second), Request{Service: "plan", ID: fmt.Sprint(i)})
		table.finish(refusal, notRun("x"))
	}
	_, isFirst := table.begin(now.Add(time.Minute), r)
	is.True(!isFirst)
	is.True(len(table.order) <= 2*minCompaction)
}

// A request whose entry may have been removed is not run again: the request is older than the TTL of outcomes, or than
// an entry that was evicted for lack of room.
func TestForgottenRequests(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewDedupTable()
	table.maxRecords = 10
	for i := range 20 {
		entry, _ := table.begin(now.Add(time.Duration(i)*time.Second), Request{Service: "plan", ID: fmt.Sprint(i)})
		table.finish(entry, Outcome{Verdict: verd.Ran, Status: 200})
	}
	is.Equal(table.Len(), 10)
	now = now.Add(time.Minute) // the newest evicted entry was added 51 s ago
	aged := func(age time.Duration) bool { return table.mayHaveEvicted(now, Request{Age: age}) }
	is.True(!aged(0))
	is.True(!aged(50 * time.Second))
	is.True(aged(51 * time.Second))
	is.True(aged(UnknownAge))
	fresh := NewDedupTable()
	is.True(!fresh.mayHaveEvicted(now, Request{Age: KeepOutcomes - 1}))
	is.True(fresh.mayHaveEvicted(now, Request{Age: KeepOutcomes}))
	is.True(!fresh.mayHaveEvicted(now, Request{Age: UnknownAge})) // an unknown age does not count as past the TTL
}

// Responses beyond the limit are evicted, the oldest first; the entry still says that the request has run.
func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewDedupTable()
	table.responses.limit = 10 << 10
	body := make([]byte, 1<<10)
	for i := range 20 {
		entry, _ := table.begin(now, Request{Service: "plan", ID: fmt.Sprint(i)})
		table.finish(entry, Outcome{Verdict: verd.Ran, Status: 200, Body: body})
	}
	is.True(table.responses.used <= table.responses.limit)
	oldest, _ := table.Find("plan", 0, "0")
	newest, _ := table.Find("plan", 0, "19")
	is.Equal(oldest.Outcome.Verdict, verd.Ran)
	is.Equal(oldest.Outcome.Status, http.StatusGone)
	is.Equal(len(newest.Outcome.Body), len(body))
	later := now.Add(KeepOutcomes + time.Second)
	entry, _ := table.begin(later, Request{Service: "plan", ID: "later"})
	table.finish(entry, Outcome{Verdict: verd.Ran, Status: 200})
	is.Equal(table.Len(), 1)
	is.Equal(table.responses.used, 0) // responses of removed entries are evicted
	is.Equal(len(table.responses.order), 1)
}

// The deduplication table behaves like a plain map of all records, over random sequences of calls.
func TestDedupTableAgainstPlainMap(t *testing.T) {
	const ids, steps = 40, 4000
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		now := time.Now()
		table := NewDedupTable()
		plain := make(map[string]*verd.Verdict) // nil while the outcome is unknown
		running := make(map[string]*dedupEntry)
		for range steps {
			id := fmt.Sprint(random.IntN(ids))
			r := Request{Service: "plan", Slot: len(id), ID: id}
			_, isKnown := plain[id]
			switch entry := running[id]; random.IntN(4) {
			case 0:
				begun, isFirst := table.begin(now, r)
				if isFirst == isKnown {
					t.Fatalf("seed %d: %s is first: %v", seed, id, isFirst)
				}
				if isFirst {
					plain[id], running[id] = nil, begun
				}
			case 1:
				verdict := verd.Verdict(random.IntN(3))
				if entry != nil {
					table.finish(entry, Outcome{Verdict: verdict})
					delete(running, id)
					plain[id] = &verdict
					if verdict == verd.NotRun {
						delete(plain, id)
					}
				}
			case 2:
				table.Merge(now, "h", NewRecord(r))
				if !isKnown {
					plain[id] = nil
				}
			case 3:
				record, isFound := table.Find("plan", r.Slot, id)
				if isFound != isKnown || record.Running != (entry != nil) {
					t.Fatalf("seed %d: %s is found: %v, running: %v", seed, id, isFound, record.Running)
				}
				if want := plain[id]; isKnown && (want == nil) != (record.Outcome == nil) {
					t.Fatalf("seed %d: %s has outcome %v", seed, id, record.Outcome)
				}
			}
			if table.Len() != len(plain) {
				t.Fatalf("seed %d: %d records, not %d", seed, table.Len(), len(plain))
			}
		}
	}
}

// A host that restarts gets in batches all records that another host has kept together with it, and no others.
func TestSharedRecordsInParts(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewDedupTable()
	for i := range 25 {
		table.Merge(now, fmt.Sprint("host-", i%2), Record{Service: "plan", ID: fmt.Sprint(i)})
	}
	var ids []string
	for after := uint64(0); ; {
		records, next := table.SharedWith("host-1", after, 5)
		is.True(len(records) <= 5)
		for _, record := range records {
			ids = append(ids, record.ID)
		}
		if after = next; next == 0 {
			break
		}
	}
	is.Equal(ids, []string{"1", "3", "5", "7", "9", "11", "13", "15", "17", "19", "21", "23"})
	table.ReplacePeer("host-1", "host-2")
	records, _ := table.SharedWith("host-2", 0, 100)
	is.Equal(len(records), 12)
}

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

// A resend finds the record of the first request; one that has not run leaves none.
func TestBookRemembers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	book := NewDedupTable()
	r := Request{Service: "plan", Slot: 1, ID: "r", Token: "t1", Fingerprint: 7}
	one, isFirst := book.begin(now, r)
	is.True(isFirst)
	_, isFirst = book.begin(now, r)
	is.True(!isFirst)
	is.Equal(len(book.Export("plan", []int{1})), 1)
	is.True(book.Export("plan", []int{1})[0].Running)
	book.finish(one, notRun("x"))
	is.Equal(book.Len(), 0)
	one, isFirst = book.begin(now, r)
	is.True(isFirst)
	book.finish(one, unknown("x"))
	is.True(book.outcome(one, r).Replayed)
	other := r
	other.Fingerprint = 8
	is.Equal(book.outcome(one, other).Status, 422) // the id of another request
	book.Merge(now.Add(2*KeepOutcomes), "h", Record{Service: "plan", ID: "later"})
	is.Equal(book.Len(), 1) // the old one is forgotten
}

// A flood of exclusive requests that are refused pushes no outcome out of the book.
func TestRefusalsPushNothingOut(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	book := NewDedupTable()
	book.maxRecords = 5000
	r := Request{Service: "plan", ID: "first"}
	one, _ := book.begin(now, r)
	book.finish(one, Outcome{Verdict: verd.Ran, Status: 200})
	for i := range 2 * book.maxRecords {
		refusal, _ := book.begin(now.Add(time.Second), Request{Service: "plan", ID: fmt.Sprint(i)})
		book.finish(refusal, notRun("x"))
	}
	_, isFirst := book.begin(now.Add(time.Minute), r)
	is.True(!isFirst)
	is.True(len(book.order) <= 2*leastSweep)
}

// A request that the book may have forgotten is not run again: one that is older than outcomes are kept, or
// than what was forgotten for want of room.
func TestForgottenRequests(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	book := NewDedupTable()
	book.maxRecords = 10
	for i := range 20 {
		one, _ := book.begin(now.Add(time.Duration(i)*time.Second), Request{Service: "plan", ID: fmt.Sprint(i)})
		book.finish(one, Outcome{Verdict: verd.Ran, Status: 200})
	}
	is.Equal(book.Len(), 10)
	now = now.Add(time.Minute) // the newest that was forgotten was noted 51 s ago
	aged := func(age time.Duration) bool { return book.isForgotten(now, Request{Age: age}) }
	is.True(!aged(0))
	is.True(!aged(50 * time.Second))
	is.True(aged(51 * time.Second))
	is.True(aged(UnknownAge))
	fresh := NewDedupTable()
	is.True(!fresh.isForgotten(now, Request{Age: KeepOutcomes - 1}))
	is.True(fresh.isForgotten(now, Request{Age: KeepOutcomes}))
	is.True(!fresh.isForgotten(now, Request{Age: UnknownAge})) // who says nothing is taken at the word
}

// Answers beyond the bound are forgotten, the oldest first; that the request has run is not.
func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	book := NewDedupTable()
	book.answers.limit = 10 << 10
	body := make([]byte, 1<<10)
	for i := range 20 {
		one, _ := book.begin(now, Request{Service: "plan", ID: fmt.Sprint(i)})
		book.finish(one, Outcome{Verdict: verd.Ran, Status: 200, Body: body})
	}
	is.True(book.answers.used <= book.answers.limit)
	oldest, _ := book.Find("plan", 0, "0")
	newest, _ := book.Find("plan", 0, "19")
	is.Equal(oldest.Outcome.Verdict, verd.Ran)
	is.Equal(oldest.Outcome.Status, http.StatusGone)
	is.Equal(len(newest.Outcome.Body), len(body))
	later := now.Add(KeepOutcomes + time.Second)
	one, _ := book.begin(later, Request{Service: "plan", ID: "later"})
	book.finish(one, Outcome{Verdict: verd.Ran, Status: 200})
	is.Equal(book.Len(), 1)
	is.Equal(book.answers.used, 0) // the answers of records that are forgotten go with them
	is.Equal(len(book.answers.order), 1)
}

// The book does what a plain map of all records would do, over random courses of calls.
func TestBookAgainstPlainMap(t *testing.T) {
	const ids, steps = 40, 4000
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		now := time.Now()
		book := NewDedupTable()
		plain := make(map[string]*verd.Verdict) // nil while the outcome is not known
		running := make(map[string]*record)
		for range steps {
			id := fmt.Sprint(random.IntN(ids))
			r := Request{Service: "plan", Slot: len(id), ID: id}
			_, isKnown := plain[id]
			switch one := running[id]; random.IntN(4) {
			case 0:
				began, isFirst := book.begin(now, r)
				if isFirst == isKnown {
					t.Fatalf("seed %d: %s is first: %v", seed, id, isFirst)
				}
				if isFirst {
					plain[id], running[id] = nil, began
				}
			case 1:
				verdict := verd.Verdict(random.IntN(3))
				if one != nil {
					book.finish(one, Outcome{Verdict: verdict})
					delete(running, id)
					plain[id] = &verdict
					if verdict == verd.NotRun {
						delete(plain, id)
					}
				}
			case 2:
				book.Merge(now, "h", NewRecord(r))
				if !isKnown {
					plain[id] = nil
				}
			case 3:
				note, isFound := book.Find("plan", r.Slot, id)
				if isFound != isKnown || note.Running != (one != nil) {
					t.Fatalf("seed %d: %s is found: %v, running: %v", seed, id, isFound, note.Running)
				}
				if want := plain[id]; isKnown && (want == nil) != (note.Outcome == nil) {
					t.Fatalf("seed %d: %s has outcome %v", seed, id, note.Outcome)
				}
			}
			if book.Len() != len(plain) {
				t.Fatalf("seed %d: %d records, not %d", seed, book.Len(), len(plain))
			}
		}
	}
}

// A host that restarts gets in parts all that another one has kept together with it, and nothing else.
func TestSharedRecordsInParts(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	book := NewDedupTable()
	for i := range 25 {
		book.Merge(now, fmt.Sprint("host-", i%2), Record{Service: "plan", ID: fmt.Sprint(i)})
	}
	var ids []string
	for after := uint64(0); ; {
		notes, next := book.SharedWith("host-1", after, 5)
		is.True(len(notes) <= 5)
		for _, note := range notes {
			ids = append(ids, note.ID)
		}
		if after = next; next == 0 {
			break
		}
	}
	is.Equal(ids, []string{"1", "3", "5", "7", "9", "11", "13", "15", "17", "19", "21", "23"})
	book.ReplacePeer("host-1", "host-2")
	notes, _ := book.SharedWith("host-2", 0, 100)
	is.Equal(len(notes), 12)
}

package disp

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"lovagelink.example/lovagelink/pkg/verd"
)

// Limits of the deduplication table.
const (
	KeepOutcomes           = 5 * time.Minute // TTL of the outcome of a non-idempotent request
	maxRecords             = 600_000
	maxStoredResponseBytes = 48 << 20
	minCompaction          = 1024 // removed entries that are dropped from the order together
)

// UnknownAge is the age of a request whose caller does not say when the request was first sent.
const UnknownAge = 24 * time.Hour

// DedupTable stores non-idempotent requests by id, so that a resend gets the first outcome. It has an entry for each
// request that this host dispatches or whose start it has recorded for another host.
type DedupTable struct {
	mu              sync.Mutex
	slots           map[slotRef]map[string]*dedupEntry // by request id
	order           []*dedupEntry                      // in order of addition, may include removed entries
	count           int                                // entries that are not removed
	lastSequence    uint64                             // sequence number of the newest entry
	serviceNames    map[string]string                  // one copy of each name, shared by all records
	responses       responseCache
	maxRecords      int
	newestEvictedAt time.Time // when the newest entry that was evicted for lack of room was added
}

// slotRef identifies a slot of a service.
type slotRef struct {
	service string
	slot    int
}

// NewDedupTable returns an empty table.
func NewDedupTable() *DedupTable {
	return &DedupTable{
		slots: make(map[slotRef]map[string]*dedupEntry), serviceNames: make(map[string]string),
		responses: responseCache{limit: maxStoredResponseBytes}, maxRecords: maxRecords,
	}
}

// begin returns a new entry for a request and true, or the entry of an earlier request with the same id and false.
func (t *DedupTable) begin(now time.Time, r Request) (*dedupEntry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if existing := t.get(r.Service, r.Slot, r.ID); existing != nil {
		return existing, false
	}
	entry := t.add(now, NewRecord(r))
	entry.running = true
	return entry, true
}

// beginOffloaded begins a request that another host's dispatcher has offloaded and whose start this host may have
// recorded already. It returns false with the entry if the request runs here already or its outcome is known.
func (t *DedupTable) beginOffloaded(now time.Time, r Request) (*dedupEntry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.get(r.Service, r.Slot, r.ID)
	if entry == nil {
		entry = t.add(now, NewRecord(r))
	}
	if entry.running || entry.hasOutcome {
		return entry, false
	}
	entry.running = true
	return entry, true
}

// mayHaveEvicted reports whether an entry of a request may have been removed from the table: the request was first sent
// longer ago than outcomes are kept, or no later than the newest evicted entry was added. An unknown age does not count
// as longer than outcomes are kept.
func (t *DedupTable) mayHaveEvicted(now time.Time, r Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	isOld := r.Age >= KeepOutcomes && r.Age < UnknownAge
	return isOld || r.Age > 0 && !now.Add(-r.Age).After(t.newestEvictedAt)
}

// get returns an entry or nil; the caller holds the lock.
func (t *DedupTable) get(service string, slot int, id string) *dedupEntry {
	return t.slots[slotRef{service, slot}][id]
}

// add adds an entry; the caller holds the lock.
func (t *DedupTable) add(now time.Time, record Record) *dedupEntry {
	record.Service = t.internService(record.Service)
	t.lastSequence++
	entry := &dedupEntry{record: record, addedAt: now, sequence: t.lastSequence}
	ref := slotRef{record.Service, record.Slot}
	if t.slots[ref] == nil {
		t.slots[ref] = make(map[string]*dedupEntry)
	}
	t.slots[ref][record.ID] = entry
	t.order = append(t.order, entry)
	t.count++
	t.expire(now)
	t.compact()
	return entry
}

func (t *DedupTable) internService(service string) string {
	if name, ok := t.serviceNames[service]; ok {
		return name
	}
	t.serviceNames[service] = service
	return service
}

// remove deletes an entry from its slot and marks it as removed; the caller holds the lock.
func (t *DedupTable) remove(entry *dedupEntry) {
	if entry.removed {
		return
	}
	entry.removed = true
	t.count--
	ref := slotRef{entry.record.Service, entry.record.Slot}
	delete(t.slots[ref], entry.record.ID)
	if len(t.slots[ref]) == 0 {
		delete(t.slots, ref)
	}
}

// compact drops the removed entries from the order once there are enough of them.
func (t *DedupTable) compact() {
	removed := len(t.order) - t.count
	if removed < minCompaction || removed < t.count {
		return
	}
	t.order = slices.DeleteFunc(t.order, func(entry *dedupEntry) bool { return entry.removed })
}

// expire removes the oldest entries while they are past their TTL or the table is over its limit. It stops at an entry
// whose request is running.
func (t *DedupTable) expire(now time.Time) {
	for len(t.order) > 0 {
		oldest := t.order[0]
		isExpired := now.Sub(oldest.addedAt) > KeepOutcomes
		isOverLimit := t.count > t.maxRecords
		switch {
		case oldest.removed:
		case !isExpired && !isOverLimit || oldest.running:
			return
		case !isExpired:
			t.newestEvictedAt = oldest.addedAt
		}
		t.remove(oldest)
		t.order[0] = nil
		t.order = t.order[1:]
	}
}

// finish sets the outcome of a request that was dispatched on this host. The entry of a request that did not run is
// removed, so that a resend may run.
func (t *DedupTable) finish(entry *dedupEntry, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry.running = false
	t.setOutcome(entry, outcome)
}

// setOutcome sets the outcome of an entry unless it already has one, and removes the entry of a request that has not
// run; the caller holds the lock.
func (t *DedupTable) setOutcome(entry *dedupEntry, outcome Outcome) {
	if outcome.Verdict == verd.NotRun {
		t.remove(entry)
	}
	if entry.hasOutcome {
		return
	}
	entry.setOutcome(outcome)
	if !entry.removed {
		t.responses.add(entry)
	}
}

// abandon removes an entry whose request was not started here, and gives outcome to the resends that wait for it.
func (t *DedupTable) abandon(entry *dedupEntry, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry.running = false
	t.remove(entry)
	entry.setOutcome(outcome)
}

// done returns a channel that closes once the outcome of an entry is known.
func (t *DedupTable) done(entry *dedupEntry) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return entry.wait()
}

// outcome returns the outcome of an entry as the response to a resend, or a refusal if the resend differs from the
// first request. The outcome must be known.
func (t *DedupTable) outcome(entry *dedupEntry, r Request) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry.record.Fingerprint != r.Fingerprint {
		return refused(http.StatusUnprocessableEntity, "the request id was used for another request; take a new id", 0)
	}
	outcome := *entry.record.Outcome
	outcome.Replayed = true
	return outcome
}

// removeUnresolved removes the entry of a request that has not run, unless it runs here or has an outcome.
func (t *DedupTable) removeUnresolved(entry *dedupEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !entry.running && !entry.hasOutcome {
		t.remove(entry)
	}
}

// isKnownNotRun reports whether the entry host of a resend knows that the attempt of an entry has not run.
func (t *DedupTable) isKnownNotRun(entry *dedupEntry, r Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Contains(r.NotRunTokens, entry.record.Token)
}

// isUnresolved reports whether the outcome of an entry must come from another host.
func (t *DedupTable) isUnresolved(entry *dedupEntry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !entry.running && !entry.hasOutcome
}

// Len returns the number of entries.
func (t *DedupTable) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

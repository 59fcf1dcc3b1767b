package disp

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"lovagelink.example/lovagelink/pkg/verd"
)

// Limits of the book.
const (
	KeepOutcomes = 5 * time.Minute // how long the outcome of an exclusive request is remembered
	maxRecords   = 600_000
	maxAnswers   = 48 << 20 // bytes
	leastSweep   = 1024     // forgotten records that are swept out of the order together
)

// UnknownAge stands for the age of a request whose caller does not say when it was first sent.
const UnknownAge = 24 * time.Hour

// DedupTable remembers exclusive requests by id, so that a resend gets the first outcome. A record stands
// for a request that this host dispatches, or that it has witnessed being started elsewhere.
type DedupTable struct {
	mu         sync.Mutex
	slots      map[slotRef]map[string]*record // by request id
	order      []*record                      // by age, with some that are forgotten
	count      int                            // of records that are not
	entered    uint64                         // records so far
	services   map[string]string              // so that all records share the names
	answers    answers
	maxRecords int
	evicted    time.Time // when the newest of the records was noted that were forgotten for want of room
}

// slotRef names a slot of a service.
type slotRef struct {
	service string
	slot    int
}

// NewDedupTable returns an empty book.
func NewDedupTable() *DedupTable {
	return &DedupTable{
		slots: make(map[slotRef]map[string]*record), services: make(map[string]string),
		answers: answers{limit: maxAnswers}, maxRecords: maxRecords,
	}
}

// begin enters a request, or returns the record of an earlier one with the same id.
func (b *DedupTable) begin(now time.Time, r Request) (*record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.get(r.Service, r.Slot, r.ID); known != nil {
		return known, false
	}
	one := b.enter(now, NewRecord(r))
	one.running = true
	return one, true
}

// take enters a request that another host's dispatcher has offloaded, whose start this host may have noted
// already. It returns false with a record that is under way here or settled.
func (b *DedupTable) take(now time.Time, r Request) (*record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.get(r.Service, r.Slot, r.ID)
	if one == nil {
		one = b.enter(now, NewRecord(r))
	}
	if one.running || one.settled {
		return one, false
	}
	one.running = true
	return one, true
}

// isForgotten reports whether a request may have been in the book that is not in it any more: one whose
// caller has sent it before the records that were forgotten.
func (b *DedupTable) isForgotten(now time.Time, r Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	isOld := r.Age >= KeepOutcomes && r.Age < UnknownAge
	return isOld || r.Age > 0 && !now.Add(-r.Age).After(b.evicted)
}

// get returns a record or nil; the lock is held.
func (b *DedupTable) get(service string, slot int, id string) *record {
	return b.slots[slotRef{service, slot}][id]
}

// enter adds a record; the lock is held.
func (b *DedupTable) enter(now time.Time, note Record) *record {
	note.Service = b.nameOf(note.Service)
	b.entered++
	one := &record{note: note, noted: now, number: b.entered}
	ref := slotRef{note.Service, note.Slot}
	if b.slots[ref] == nil {
		b.slots[ref] = make(map[string]*record)
	}
	b.slots[ref][note.ID] = one
	b.order = append(b.order, one)
	b.count++
	b.expire(now)
	b.sweep()
	return one
}

func (b *DedupTable) nameOf(service string) string {
	if name, ok := b.services[service]; ok {
		return name
	}
	b.services[service] = service
	return service
}

// remove takes a record out; the lock is held.
func (b *DedupTable) remove(one *record) {
	if one.gone {
		return
	}
	one.gone = true
	b.count--
	ref := slotRef{one.note.Service, one.note.Slot}
	delete(b.slots[ref], one.note.ID)
	if len(b.slots[ref]) == 0 {
		delete(b.slots, ref)
	}
}

// sweep drops the forgotten records from the order once they are many.
func (b *DedupTable) sweep() {
	forgotten := len(b.order) - b.count
	if forgotten < leastSweep || forgotten < b.count {
		return
	}
	b.order = slices.DeleteFunc(b.order, func(one *record) bool { return one.gone })
}

// expire forgets records that are old or too many; running ones stay.
func (b *DedupTable) expire(now time.Time) {
	for len(b.order) > 0 {
		oldest := b.order[0]
		isOld := now.Sub(oldest.noted) > KeepOutcomes
		isOver := b.count > b.maxRecords
		switch {
		case oldest.gone:
		case !isOld && !isOver || oldest.running:
			return
		case !isOld:
			b.evicted = oldest.noted
		}
		b.remove(oldest)
		b.order[0] = nil
		b.order = b.order[1:]
	}
}

// finish settles a record; a request that did not run is forgotten, so that a resend may run.
func (b *DedupTable) finish(one *record, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one.running = false
	b.settle(one, outcome)
}

// settle gives a record its outcome; the lock is held.
func (b *DedupTable) settle(one *record, outcome Outcome) {
	if outcome.Verdict == verd.NotRun {
		b.remove(one)
	}
	if one.settled {
		return
	}
	one.settle(outcome)
	if !one.gone {
		b.answers.keep(one)
	}
}

// drop answers those who wait for a record that stands for nothing started here, and forgets it.
func (b *DedupTable) drop(one *record, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one.running = false
	b.remove(one)
	one.settle(outcome)
}

// done returns a channel that closes once the outcome of a record is known.
func (b *DedupTable) done(one *record) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return one.wait()
}

// outcome returns the settled outcome as an answer to a resend.
func (b *DedupTable) outcome(one *record, r Request) Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	if one.note.Fingerprint != r.Fingerprint {
		return refused(http.StatusUnprocessableEntity, "the request id was used for another request; take a new id", 0)
	}
	outcome := *one.note.Outcome
	outcome.Replayed = true
	return outcome
}

// forget drops a record whose request has not run.
func (b *DedupTable) forget(one *record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !one.running && !one.settled {
		b.remove(one)
	}
}

// isCleared reports whether the attempt that a record stands for is known not to have run.
func (b *DedupTable) isCleared(one *record, r Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(r.NotRunTokens, one.note.Token)
}

// isOpen reports whether the outcome of a record must come from another host.
func (b *DedupTable) isOpen(one *record) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !one.running && !one.settled
}

// Len returns the number of records.
func (b *DedupTable) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}

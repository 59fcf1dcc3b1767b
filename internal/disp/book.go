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
	maxRecords   = 100_000
)

// Note is one record of the book on its way to another host.
type Note struct {
	Service string   `json:"service"`
	Slot    int      `json:"slot"`
	ID      string   `json:"id"`
	Token   string   `json:"token"` // of the attempt that was started
	Print   uint64   `json:"print"`
	Outcome *Outcome `json:"outcome,omitempty"` // nil while it is not known
	Running bool     `json:"running,omitempty"` // the host that tells of it has it under way
}

// NoteOf returns the note of a request that is being started.
func NoteOf(r Request) Note {
	return Note{Service: r.Service, Slot: r.Slot, ID: r.ID, Token: r.Token, Print: r.Print}
}

// Book remembers exclusive requests by id, so that a resend gets the first outcome. A record stands
// for a request that this host dispatches, or that it has witnessed being started elsewhere.
type Book struct {
	mu      sync.Mutex
	records map[noteKey]*record
	order   []*record // by age
}

type noteKey struct {
	service string
	id      string
}

// record is one request; done closes once the outcome is known.
type record struct {
	note    Note
	noted   time.Time
	running bool // a task on this host will settle it
	settled bool
	done    chan struct{}
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{records: make(map[noteKey]*record)}
}

// begin enters a request, or returns the record of an earlier one with the same id.
func (b *Book) begin(now time.Time, r Request) (*record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := noteKey{r.Service, r.ID}
	if known := b.records[key]; known != nil {
		return known, false
	}
	one := b.enter(now, NoteOf(r))
	one.running = true
	return one, true
}

// take enters a request that another host's dispatcher has offloaded, whose start this host may have noted
// already. It returns false with a record that is under way here or settled.
func (b *Book) take(now time.Time, r Request) (*record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.records[noteKey{r.Service, r.ID}]
	if one == nil {
		one = b.enter(now, NoteOf(r))
	}
	if one.running || one.settled {
		return one, false
	}
	one.running = true
	return one, true
}

// enter adds a record; the lock is held.
func (b *Book) enter(now time.Time, note Note) *record {
	one := &record{note: note, noted: now, done: make(chan struct{})}
	b.records[noteKey{note.Service, note.ID}] = one
	b.order = append(b.order, one)
	b.expire(now)
	return one
}

// expire forgets records that are old or too many; running ones stay.
func (b *Book) expire(now time.Time) {
	for len(b.order) > 0 {
		oldest := b.order[0]
		isOld := now.Sub(oldest.noted) > KeepOutcomes || len(b.order) > maxRecords
		if !isOld || oldest.running {
			return
		}
		b.order = b.order[1:]
		key := noteKey{oldest.note.Service, oldest.note.ID}
		if b.records[key] == oldest {
			delete(b.records, key)
		}
	}
}

// finish settles a record; a request that did not run is forgotten, so that a resend may run.
func (b *Book) finish(one *record, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one.running = false
	if outcome.Verdict == verd.NotRun {
		delete(b.records, noteKey{one.note.Service, one.note.ID})
	}
	one.settle(outcome)
}

// drop answers those who wait for a record that stands for nothing started here, and forgets it.
func (b *Book) drop(one *record, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one.running = false
	delete(b.records, noteKey{one.note.Service, one.note.ID})
	one.settle(outcome)
}

func (one *record) settle(outcome Outcome) {
	if one.settled {
		return
	}
	one.settled = true
	one.note.Outcome = &outcome
	close(one.done)
}

// outcome returns the settled outcome as an answer to a resend.
func (b *Book) outcome(one *record, r Request) Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	if one.note.Print != r.Print {
		return refused(http.StatusUnprocessableEntity, "the request id was used for another request; take a new id", 0)
	}
	outcome := *one.note.Outcome
	outcome.Repeated = true
	return outcome
}

// Witness notes that a request is about to be started elsewhere, or how it ended there.
func (b *Book) Witness(now time.Time, note Note) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.records[noteKey{note.Service, note.ID}]
	if known == nil {
		known = b.enter(now, note)
		known.note.Outcome = nil
		known.note.Running = false
	}
	if note.Outcome == nil || known.running {
		return
	}
	if note.Outcome.Verdict == verd.NotRun {
		delete(b.records, noteKey{note.Service, note.ID})
	}
	known.settle(*note.Outcome)
}

// Export lists what the book knows of some slots of a service.
func (b *Book) Export(service string, slots []int) []Note {
	wanted := make(map[int]bool, len(slots))
	for _, slot := range slots {
		wanted[slot] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var notes []Note
	for _, one := range b.records {
		if one.note.Service == service && wanted[one.note.Slot] {
			notes = append(notes, one.told())
		}
	}
	return notes
}

// ExportAll lists all that the book knows.
func (b *Book) ExportAll() []Note {
	b.mu.Lock()
	defer b.mu.Unlock()
	notes := make([]Note, 0, len(b.records))
	for _, one := range b.records {
		notes = append(notes, one.told())
	}
	return notes
}

// told is the record as another host is told of it.
func (one *record) told() Note {
	note := one.note
	note.Running = one.running
	return note
}

// Find returns what the book knows of one request.
func (b *Book) Find(service, id string) (Note, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.records[noteKey{service, id}]
	if one == nil {
		return Note{}, false
	}
	return one.told(), true
}

// forget drops a record whose request has not run.
func (b *Book) forget(one *record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := noteKey{one.note.Service, one.note.ID}
	if b.records[key] == one && !one.running && !one.settled {
		delete(b.records, key)
	}
}

// isCleared reports whether the attempt that a record stands for is known not to have run.
func (b *Book) isCleared(one *record, r Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(r.Cleared, one.note.Token)
}

// isOpen reports whether the outcome of a record must come from another host.
func (b *Book) isOpen(one *record) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !one.running && !one.settled
}

// Import takes in what other hosts know; a start without an outcome counts as one that may have run.
func (b *Book) Import(now time.Time, notes []Note) {
	for _, note := range notes {
		b.Witness(now, note)
	}
}

// Len returns the number of records.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.records)
}

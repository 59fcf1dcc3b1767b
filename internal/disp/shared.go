package disp

import (
	"sort"
	"time"
)

// Merge notes that a request is about to be started elsewhere, or how it ended there; other is the host
// that tells of it.
func (b *DedupTable) Merge(now time.Time, other string, note Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.get(note.Service, note.Slot, note.ID)
	if known == nil {
		started := note
		started.Outcome, started.Running = nil, false
		known = b.enter(now, started)
	}
	if other != "" {
		known.other = other
	}
	if note.Outcome != nil && !known.running {
		b.settle(known, *note.Outcome)
	}
}

// share notes which other host knows of a request.
func (b *DedupTable) share(r Request, other string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if one := b.get(r.Service, r.Slot, r.ID); one != nil && other != "" {
		one.other = other
	}
}

// Import takes in what another host knows of slots; a start without an outcome counts as one that may have
// run. The hosts that knew of a request before go on to be the two that keep it.
func (b *DedupTable) Import(now time.Time, notes []Record) {
	b.Restore(now, "", notes)
}

// Restore takes in records that this host keeps together with another one.
func (b *DedupTable) Restore(now time.Time, other string, notes []Record) {
	for _, note := range notes {
		b.Merge(now, other, note)
	}
}

// ReplacePeer notes that another host has taken over what this one kept together with one that leaves.
func (b *DedupTable) ReplacePeer(leaving, heir string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, one := range b.order {
		if one.other == leaving {
			one.other = heir
		}
	}
}

// Export lists what the book knows of some slots of a service.
func (b *DedupTable) Export(service string, slots []int) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var notes []Record
	for _, slot := range slots {
		for _, one := range b.slots[slotRef{service, slot}] {
			notes = append(notes, one.told())
		}
	}
	return notes
}

// Shared lists what the book knows by the host that knows of it too; "" stands for a host not known.
func (b *DedupTable) Shared() map[string][]Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	notes := make(map[string][]Record)
	for _, one := range b.order {
		if !one.gone {
			notes[one.other] = append(notes[one.other], one.told())
		}
	}
	return notes
}

// SharedWith lists what the book knows together with another host, from behind a record on and at most so
// many; next is the record to go on behind, or 0 when there are no more.
func (b *DedupTable) SharedWith(other string, after uint64, most int) (notes []Record, next uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := sort.Search(len(b.order), func(i int) bool { return b.order[i].number > after })
	for _, one := range b.order[first:] {
		if one.gone || one.other != other {
			continue
		}
		notes = append(notes, one.told())
		if len(notes) == most {
			return notes, one.number
		}
	}
	return notes, 0
}

// Find returns what the book knows of one request.
func (b *DedupTable) Find(service string, slot int, id string) (Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.get(service, slot, id)
	if one == nil {
		return Record{}, false
	}
	return one.told(), true
}

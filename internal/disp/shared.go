package disp

import (
	"sort"
	"time"
)

// Merge records that a request is about to start on another host, or its outcome there. peer is the other host that
// has the record, or "" to keep the peer of an existing entry.
func (t *DedupTable) Merge(now time.Time, peer string, record Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.get(record.Service, record.Slot, record.ID)
	if entry == nil {
		initial := record
		initial.Outcome, initial.Running = nil, false
		entry = t.add(now, initial)
	}
	if peer != "" {
		entry.peer = peer
	}
	if record.Outcome != nil && !entry.running {
		t.setOutcome(entry, *record.Outcome)
	}
}

// setPeer sets the other host that has a record of a request.
func (t *DedupTable) setPeer(r Request, peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry := t.get(r.Service, r.Slot, r.ID); entry != nil && peer != "" {
		entry.peer = peer
	}
}

// Import merges the records of another host; a request that was started and has no outcome may have run. The peers of
// existing entries do not change: the two hosts that kept a record before continue to keep it.
func (t *DedupTable) Import(now time.Time, records []Record) {
	t.Restore(now, "", records)
}

// Restore merges records that this host keeps together with peer.
func (t *DedupTable) Restore(now time.Time, peer string, records []Record) {
	for _, record := range records {
		t.Merge(now, peer, record)
	}
}

// ReplacePeer records that successor has taken over the records that this host kept together with leaving.
func (t *DedupTable) ReplacePeer(leaving, successor string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range t.order {
		if entry.peer == leaving {
			entry.peer = successor
		}
	}
}

// Export returns the records of some slots of a service.
func (t *DedupTable) Export(service string, slots []int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for _, slot := range slots {
		for _, entry := range t.slots[slotRef{service, slot}] {
			records = append(records, entry.export())
		}
	}
	return records
}

// Shared returns all records by peer, with "" for an unknown peer.
func (t *DedupTable) Shared() map[string][]Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make(map[string][]Record)
	for _, entry := range t.order {
		if !entry.removed {
			records[entry.peer] = append(records[entry.peer], entry.export())
		}
	}
	return records
}

// SharedWith returns up to limit records that this host keeps together with peer, starting after sequence number after.
// next is the sequence number to continue after, or 0 if there are no more records.
func (t *DedupTable) SharedWith(peer string, after uint64, limit int) (records []Record, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := sort.Search(len(t.order), func(i int) bool { return t.order[i].sequence > after })
	for _, entry := range t.order[first:] {
		if entry.removed || entry.peer != peer {
			continue
		}
		records = append(records, entry.export())
		if len(records) == limit {
			return records, entry.sequence
		}
	}
	return records, 0
}

// Find returns the record of a request.
func (t *DedupTable) Find(service string, slot int, id string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.get(service, slot, id)
	if entry == nil {
		return Record{}, false
	}
	return entry.export(), true
}

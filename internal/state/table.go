package state

import "iter"

// Table is the slot table of one service. Owners of slots must only be changed through set, which updates slotsByOwner.
type Table struct {
	Slots []Slot `json:"slots"`

	slotsByOwner map[string]map[int]struct{} // slot numbers by owner
}

func newTable(slots int) *Table {
	t := &Table{Slots: make([]Slot, slots)}
	t.reindex()
	return t
}

// reindex rebuilds slotsByOwner.
func (t *Table) reindex() {
	t.slotsByOwner = make(map[string]map[int]struct{})
	for number, slot := range t.Slots {
		t.indexSlot(number, slot.Owner)
	}
}

func (t *Table) indexSlot(number int, owner string) {
	if t.slotsByOwner[owner] == nil {
		t.slotsByOwner[owner] = make(map[int]struct{})
	}
	t.slotsByOwner[owner][number] = struct{}{}
}

// set replaces a slot and updates slotsByOwner.
func (t *Table) set(number int, slot Slot) {
	if old := t.Slots[number].Owner; old != slot.Owner {
		delete(t.slotsByOwner[old], number)
		if len(t.slotsByOwner[old]) == 0 {
			delete(t.slotsByOwner, old)
		}
		t.indexSlot(number, slot.Owner)
	}
	t.Slots[number] = slot
}

// SlotsOf returns the slots of an owner by number, in unspecified order; the owner "" selects the slots without an
// owner.
func (t *Table) SlotsOf(owner string) iter.Seq2[int, Slot] {
	return func(yield func(int, Slot) bool) {
		for number := range t.slotsByOwner[owner] {
			if !yield(number, t.Slots[number]) {
				return
			}
		}
	}
}

// Counts returns the number of slots of each owner; the owner "" counts the slots without an owner.
func (t *Table) Counts() iter.Seq2[string, int] {
	return func(yield func(string, int) bool) {
		for owner, numbers := range t.slotsByOwner {
			if !yield(owner, len(numbers)) {
				return
			}
		}
	}
}

// Slot is the owner and epoch of one hash slot of a service's keys.
type Slot struct {
	Owner     string `json:"owner,omitempty"`
	Epoch     uint64 `json:"epoch"`
	NextOwner string `json:"next,omitempty"` // the target of a planned move
}

func (t *Table) owns(id string) bool { return len(t.slotsByOwner[id]) > 0 }

// releaseOwner removes an owner from all slots, and cancels moves to that owner.
func (t *Table) releaseOwner(index uint64, id string) {
	for i := range t.Slots {
		if t.Slots[i].Owner == id {
			t.set(i, Slot{Epoch: index})
		}
		if t.Slots[i].NextOwner == id {
			t.Slots[i].NextOwner = ""
		}
	}
}

// setNextOwners records the next owners of slots that are to move; a slot without an owner can't be moved.
func (s *State) setNextOwners(moves []SlotMove) {
	for _, move := range moves {
		slot := s.slot(move.Service, move.Slot)
		if slot == nil || slot.Owner == "" || slot.Epoch != move.ExpectedEpoch {
			continue
		}
		if s.CanOwn(move.To, move.Service) && move.To != slot.Owner {
			slot.NextOwner = move.To
		}
	}
}

// assignSlots assigns slots to owners. If the owner can't own the slot, the slot is left without an owner.
func (s *State) assignSlots(index uint64, assignments []SlotAssignment) {
	for _, assignment := range assignments {
		slot := s.slot(assignment.Service, assignment.Slot)
		if slot == nil || slot.Epoch != assignment.ExpectedEpoch {
			continue
		}
		owner := assignment.Owner
		if !s.CanOwn(owner, assignment.Service) {
			owner = ""
		}
		s.Tables[assignment.Service].set(assignment.Slot, Slot{Owner: owner, Epoch: index})
	}
}

// slot returns a slot, or nil if it doesn't exist. The owner must not be changed through the pointer, since that would
// not update slotsByOwner.
func (s *State) slot(service string, number int) *Slot {
	table := s.Tables[service]
	if table == nil || number < 0 || number >= len(table.Slots) {
		return nil
	}
	return &table.Slots[number]
}

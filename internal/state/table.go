package state

import "iter"

// Table is the slot table of one service. Slots change through set alone, which keeps the index.
type Table struct {
	Slots []Slot `json:"slots"`

	owned map[string]map[int]struct{} // slot numbers by owner
}

func newTable(slots int) *Table {
	t := &Table{Slots: make([]Slot, slots)}
	t.reindex()
	return t
}

// reindex finds the slots of each owner anew.
func (t *Table) reindex() {
	t.owned = make(map[string]map[int]struct{})
	for number, slot := range t.Slots {
		t.enter(number, slot.Owner)
	}
}

func (t *Table) enter(number int, owner string) {
	if t.owned[owner] == nil {
		t.owned[owner] = make(map[int]struct{})
	}
	t.owned[owner][number] = struct{}{}
}

// set changes a slot.
func (t *Table) set(number int, slot Slot) {
	if old := t.Slots[number].Owner; old != slot.Owner {
		delete(t.owned[old], number)
		if len(t.owned[old]) == 0 {
			delete(t.owned, old)
		}
		t.enter(number, slot.Owner)
	}
	t.Slots[number] = slot
}

// SlotsOf returns the slots of an owner, in no order; "" owns those without an owner.
func (t *Table) SlotsOf(owner string) iter.Seq2[int, Slot] {
	return func(yield func(int, Slot) bool) {
		for number := range t.owned[owner] {
			if !yield(number, t.Slots[number]) {
				return
			}
		}
	}
}

// Counts returns how many slots each owner has; "" stands for none.
func (t *Table) Counts() iter.Seq2[string, int] {
	return func(yield func(string, int) bool) {
		for owner, numbers := range t.owned {
			if !yield(owner, len(numbers)) {
				return
			}
		}
	}
}

// Slot is one share of a service's keys.
type Slot struct {
	Owner     string `json:"owner,omitempty"`
	Epoch     uint64 `json:"epoch"`
	NextOwner string `json:"next,omitempty"` // the owner that a planned move leads to
}

func (t *Table) owns(id string) bool { return len(t.owned[id]) > 0 }

// release takes all slots from an owner.
func (t *Table) release(index uint64, id string) {
	for i := range t.Slots {
		if t.Slots[i].Owner == id {
			t.set(i, Slot{Epoch: index})
		}
		if t.Slots[i].NextOwner == id {
			t.Slots[i].NextOwner = ""
		}
	}
}

// move marks slots to be handed over; an owner that is gone has nothing to hand over.
func (s *State) move(moves []SlotMove) {
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

// assign gives slots to owners; an owner that can't take one leaves it without.
func (s *State) assign(index uint64, assigns []SlotAssignment) {
	for _, assign := range assigns {
		slot := s.slot(assign.Service, assign.Slot)
		if slot == nil || slot.Epoch != assign.ExpectedEpoch {
			continue
		}
		owner := assign.Owner
		if !s.CanOwn(owner, assign.Service) {
			owner = ""
		}
		s.Tables[assign.Service].set(assign.Slot, Slot{Owner: owner, Epoch: index})
	}
}

// slot returns a slot whose owner is not to be changed through it, or nil.
func (s *State) slot(service string, number int) *Slot {
	table := s.Tables[service]
	if table == nil || number < 0 || number >= len(table.Slots) {
		return nil
	}
	return &table.Slots[number]
}

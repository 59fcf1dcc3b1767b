package state

// Table is the slot table of one service.
type Table struct {
	Slots []Slot `json:"slots"`
}

// Slot is one share of a service's keys.
type Slot struct {
	Owner string `json:"owner,omitempty"`
	Epoch uint64 `json:"epoch"`
	Next  string `json:"next,omitempty"` // the owner that a planned move leads to
}

func (t *Table) owns(id string) bool {
	for _, slot := range t.Slots {
		if slot.Owner == id {
			return true
		}
	}
	return false
}

// release takes all slots from an owner.
func (t *Table) release(index uint64, id string) {
	for i := range t.Slots {
		if t.Slots[i].Owner == id {
			t.Slots[i] = Slot{Epoch: index}
		}
		if t.Slots[i].Next == id {
			t.Slots[i].Next = ""
		}
	}
}

// move marks slots to be handed over; an owner that is gone has nothing to hand over.
func (s *State) move(moves []Move) {
	for _, move := range moves {
		slot := s.slot(move.Service, move.Slot)
		if slot == nil || slot.Owner == "" || slot.Epoch != move.Epoch {
			continue
		}
		if s.CanOwn(move.To, move.Service) && move.To != slot.Owner {
			slot.Next = move.To
		}
	}
}

// assign gives slots to owners; an owner that can't take one leaves it without.
func (s *State) assign(index uint64, assigns []Assign) {
	for _, assign := range assigns {
		slot := s.slot(assign.Service, assign.Slot)
		if slot == nil || slot.Epoch != assign.Epoch {
			continue
		}
		owner := assign.Owner
		if !s.CanOwn(owner, assign.Service) {
			owner = ""
		}
		*slot = Slot{Owner: owner, Epoch: index}
	}
}

func (s *State) slot(service string, number int) *Slot {
	table := s.Tables[service]
	if table == nil || number < 0 || number >= len(table.Slots) {
		return nil
	}
	return &table.Slots[number]
}

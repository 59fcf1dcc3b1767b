package place

import "slices"

// Move assigns one slot to a new owner; From is "" if the slot had no owner.
type Move struct {
	Slot int
	From string
	To   string
}

// Planner decides which slots move, so that no owner has much more load than its share.
type Planner struct {
	// Slack is how far the load of an owner may deviate from the mean before slots move, as a share of the mean.
	Slack float64
	// Budget is the maximum number of moves that one call of Balance returns.
	Budget int
}

// Fill assigns each slot without an owner to the candidate with the least load relative to its speed. Owners and loads
// are indexed by slot; loads may have any unit.
func Fill(owners []string, loads []float64, candidates []Owner) []Move {
	if len(candidates) == 0 {
		return nil
	}
	l := newOwnerLoads(owners, loads, candidates)
	var moves []Move
	for _, slot := range slotsByLoad(loads) {
		if owners[slot] != "" {
			continue
		}
		to := l.leastLoaded(loads[slot])
		l.add(to, loads[slot])
		moves = append(moves, Move{Slot: slot, To: candidates[to].Name})
	}
	return moves
}

// Balance moves slots from the candidate with the most load relative to its speed to the one with the least, as long as
// that lowers the highest relative load and one of the two deviates from the mean by more than the slack. Owners and
// loads are indexed by slot.
func (p Planner) Balance(owners []string, loads []float64, candidates []Owner) []Move {
	if len(candidates) < 2 {
		return nil
	}
	owners = slices.Clone(owners)
	l := newOwnerLoads(owners, loads, candidates)
	byLoad := slotsByLoad(loads)
	var moves []Move
	for len(moves) < p.Budget {
		from, to := l.mostLoaded(), l.leastLoaded(0)
		slot, ok := p.nextSlot(owners, loads, l, byLoad, from, to)
		if !ok {
			break
		}
		move := Move{Slot: slot, From: candidates[from].Name, To: candidates[to].Name}
		owners[slot] = move.To
		l.add(from, -loads[slot])
		l.add(to, loads[slot])
		moves = append(moves, move)
	}
	return moves
}

// nextSlot returns the slot with the highest load whose move leaves the new owner below the present load of the
// previous one.
func (p Planner) nextSlot(owners []string, loads []float64, l *ownerLoads, byLoad []int, from, to int) (slot int, ok bool) {
	mean := l.mean()
	isOver := l.relative[from] > mean*(1+p.Slack)
	isUnder := l.relative[to] < mean*(1-p.Slack)
	if !isOver && !isUnder {
		return 0, false
	}
	for _, slot := range byLoad {
		if owners[slot] == l.candidates[from].Name && l.relativeWith(to, loads[slot]) < l.relative[from] {
			return slot, true
		}
	}
	return 0, false
}

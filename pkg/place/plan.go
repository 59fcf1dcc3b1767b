package place

import "slices"

// Move takes one slot from an owner to another.
type Move struct {
	Slot int
	From string
	To   string
}

// Planner decides which slots move, so that no owner carries much more than its share.
type Planner struct {
	// Slack is how far above the mean an owner may be before slots leave it, as a share of the mean.
	Slack float64
	// Budget is the most moves of one plan.
	Budget int
}

// Fill gives each slot without an owner to the candidate that carries the least for its speed.
func Fill(owners []string, loads []float64, candidates []Owner) []Move {
	if len(candidates) == 0 {
		return nil
	}
	b := newBurden(owners, loads, candidates)
	var moves []Move
	for _, slot := range heaviest(loads) {
		if owners[slot] != "" {
			continue
		}
		to := b.least(loads[slot])
		b.add(to, loads[slot])
		moves = append(moves, Move{Slot: slot, To: candidates[to].Name})
	}
	return moves
}

// Balance moves slots from the candidate that carries the most for its speed to the one that carries the
// least, as long as that lowers the most and a candidate is outside the slack.
func (p Planner) Balance(owners []string, loads []float64, candidates []Owner) []Move {
	if len(candidates) < 2 {
		return nil
	}
	owners = slices.Clone(owners)
	b := newBurden(owners, loads, candidates)
	order := heaviest(loads)
	var moves []Move
	for len(moves) < p.Budget {
		from, to := b.most(), b.least(0)
		slot, ok := p.next(owners, loads, b, order, from, to)
		if !ok {
			break
		}
		move := Move{Slot: slot, From: candidates[from].Name, To: candidates[to].Name}
		owners[slot] = move.To
		b.add(from, -loads[slot])
		b.add(to, loads[slot])
		moves = append(moves, move)
	}
	return moves
}

// next picks the heaviest slot that fits into the gap between the two extreme candidates.
func (p Planner) next(owners []string, loads []float64, b *burden, order []int, from, to int) (slot int, ok bool) {
	mean := b.mean()
	isOver := b.carried[from] > mean*(1+p.Slack)
	isUnder := b.carried[to] < mean*(1-p.Slack)
	if !isOver && !isUnder {
		return 0, false
	}
	for _, slot := range order {
		if owners[slot] == b.candidates[from].Name && b.with(to, loads[slot]) < b.carried[from] {
			return slot, true
		}
	}
	return 0, false
}

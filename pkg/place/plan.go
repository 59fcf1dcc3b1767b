package place

import (
	"cmp"
	"slices"
)

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

// Fill gives each slot without an owner to the owner with the least load.
func Fill(owners []string, loads []float64, candidates []string) []Move {
	if len(candidates) == 0 {
		return nil
	}
	carried := sum(owners, loads, candidates)
	var moves []Move
	for _, slot := range heaviest(loads) {
		if owners[slot] != "" {
			continue
		}
		to := lightest(carried, candidates)
		carried[to] += loads[slot]
		moves = append(moves, Move{Slot: slot, To: to})
	}
	return moves
}

// Balance moves slots from the owner with the most load to the one with the least, as long as that
// lowers the difference and an owner is outside the slack.
func (p Planner) Balance(owners []string, loads []float64, candidates []string) []Move {
	if len(candidates) < 2 {
		return nil
	}
	owners = slices.Clone(owners)
	carried := sum(owners, loads, candidates)
	mean := 0.0
	for _, name := range candidates {
		mean += carried[name]
	}
	mean /= float64(len(candidates))
	order := heaviest(loads)
	var moves []Move
	for len(moves) < p.Budget {
		move, ok := p.next(owners, loads, carried, candidates, mean, order)
		if !ok {
			break
		}
		owners[move.Slot] = move.To
		carried[move.From] -= loads[move.Slot]
		carried[move.To] += loads[move.Slot]
		moves = append(moves, move)
	}
	return moves
}

// next picks the heaviest slot that fits into the gap between the two extreme owners.
func (p Planner) next(owners []string, loads []float64, carried map[string]float64, candidates []string, mean float64, order []int) (Move, bool) {
	from := slices.MaxFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(carried[a], carried[b]), cmp.Compare(b, a))
	})
	to := lightest(carried, candidates)
	isOver := carried[from] > mean*(1+p.Slack)
	isUnder := carried[to] < mean*(1-p.Slack)
	if !isOver && !isUnder {
		return Move{}, false
	}
	gap := carried[from] - carried[to]
	for _, slot := range order {
		if owners[slot] == from && loads[slot] < gap {
			return Move{Slot: slot, From: from, To: to}, true
		}
	}
	return Move{}, false
}

func sum(owners []string, loads []float64, candidates []string) map[string]float64 {
	carried := make(map[string]float64, len(candidates))
	for _, name := range candidates {
		carried[name] = 0
	}
	for slot, owner := range owners {
		if _, ok := carried[owner]; ok {
			carried[owner] += loads[slot]
		}
	}
	return carried
}

func lightest(carried map[string]float64, candidates []string) string {
	return slices.MinFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(carried[a], carried[b]), cmp.Compare(a, b))
	})
}

// heaviest lists the slots by load, the heaviest first.
func heaviest(loads []float64) []int {
	order := make([]int, len(loads))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(loads[b], loads[a]) })
	return order
}

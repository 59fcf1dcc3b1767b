package place

import (
	"cmp"
	"slices"
)

// Owner can be given slots. Speed is the work that it can do over that of an ordinary owner; it must be
// above 0.
type Owner struct {
	Name  string
	Speed float64
}

// Alike returns owners of equal speed.
func Alike(names ...string) []Owner {
	owners := make([]Owner, len(names))
	for i, name := range names {
		owners[i] = Owner{Name: name, Speed: 1}
	}
	return owners
}

// burden is the load of each candidate over its speed.
type burden struct {
	candidates []Owner
	carried    []float64
}

// newBurden adds up the loads of the slots that each candidate has.
func newBurden(owners []string, loads []float64, candidates []Owner) *burden {
	b := &burden{candidates: candidates, carried: make([]float64, len(candidates))}
	positions := make(map[string]int, len(candidates))
	for i, candidate := range candidates {
		positions[candidate.Name] = i
	}
	for slot, owner := range owners {
		if i, ok := positions[owner]; ok {
			b.add(i, loads[slot])
		}
	}
	return b
}

// add gives a load to a candidate, or takes one from it.
func (b *burden) add(i int, load float64) {
	b.carried[i] += load / b.candidates[i].Speed
}

// with is what a candidate would carry with another load.
func (b *burden) with(i int, load float64) float64 {
	return b.carried[i] + load/b.candidates[i].Speed
}

// mean is what each candidate would carry if all carried the same.
func (b *burden) mean() float64 {
	load, speed := 0.0, 0.0
	for i, candidate := range b.candidates {
		load += b.carried[i] * candidate.Speed
		speed += candidate.Speed
	}
	return load / speed
}

// least returns the candidate that would carry the least with another load.
func (b *burden) least(load float64) int {
	return b.best(func(i, j int) int {
		return cmp.Compare(b.with(i, load), b.with(j, load))
	})
}

// most returns the candidate that carries the most.
func (b *burden) most() int {
	return b.best(func(i, j int) int {
		return cmp.Compare(b.carried[j], b.carried[i])
	})
}

// best returns the first candidate by an order, and of equals the first by name.
func (b *burden) best(order func(i, j int) int) int {
	best := 0
	for i := range b.candidates {
		if c := cmp.Or(order(i, best), cmp.Compare(b.candidates[i].Name, b.candidates[best].Name)); c < 0 {
			best = i
		}
	}
	return best
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

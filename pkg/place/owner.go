package place

import (
	"cmp"
	"slices"
)

// Owner is a candidate for owning slots. Speed is its capacity relative to an ordinary owner, whose speed is 1; it must
// be above 0.
type Owner struct {
	Name  string
	Speed float64
}

// Alike returns owners with these names, all of speed 1.
func Alike(names ...string) []Owner {
	owners := make([]Owner, len(names))
	for i, name := range names {
		owners[i] = Owner{Name: name, Speed: 1}
	}
	return owners
}

// ownerLoads is the load of each candidate relative to its speed.
type ownerLoads struct {
	candidates []Owner
	relative   []float64
}

// newOwnerLoads adds up the loads of the slots that each candidate owns.
func newOwnerLoads(owners []string, loads []float64, candidates []Owner) *ownerLoads {
	l := &ownerLoads{candidates: candidates, relative: make([]float64, len(candidates))}
	positions := make(map[string]int, len(candidates))
	for i, candidate := range candidates {
		positions[candidate.Name] = i
	}
	for slot, owner := range owners {
		if i, ok := positions[owner]; ok {
			l.add(i, loads[slot])
		}
	}
	return l
}

// add adds a load to a candidate; a negative load removes it.
func (l *ownerLoads) add(i int, load float64) {
	l.relative[i] += load / l.candidates[i].Speed
}

// relativeWith returns the relative load that a candidate would have with an additional load.
func (l *ownerLoads) relativeWith(i int, load float64) float64 {
	return l.relative[i] + load/l.candidates[i].Speed
}

// mean returns the relative load of each candidate if all had the same.
func (l *ownerLoads) mean() float64 {
	load, speed := 0.0, 0.0
	for i, candidate := range l.candidates {
		load += l.relative[i] * candidate.Speed
		speed += candidate.Speed
	}
	return load / speed
}

// leastLoaded returns the candidate that would have the lowest relative load with an additional load.
func (l *ownerLoads) leastLoaded(load float64) int {
	return l.best(func(i, j int) int {
		return cmp.Compare(l.relativeWith(i, load), l.relativeWith(j, load))
	})
}

// mostLoaded returns the candidate with the highest relative load.
func (l *ownerLoads) mostLoaded() int {
	return l.best(func(i, j int) int {
		return cmp.Compare(l.relative[j], l.relative[i])
	})
}

// best returns the candidate that sorts first by the comparison, and of equals the first by name.
func (l *ownerLoads) best(compare func(i, j int) int) int {
	best := 0
	for i := range l.candidates {
		if c := cmp.Or(compare(i, best), cmp.Compare(l.candidates[i].Name, l.candidates[best].Name)); c < 0 {
			best = i
		}
	}
	return best
}

// slotsByLoad returns the slots sorted by load, the highest load first.
func slotsByLoad(loads []float64) []int {
	slots := make([]int, len(loads))
	for i := range slots {
		slots[i] = i
	}
	slices.SortStableFunc(slots, func(a, b int) int { return cmp.Compare(loads[b], loads[a]) })
	return slots
}

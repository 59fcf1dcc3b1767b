package keyed

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"lovagelink.example/lovagelink/internal/realm"
)

// levelHeap orders upstreams by their level, the lowest first, or the highest if isMax is true. Of equals the first by
// id comes first.
type levelHeap struct {
	state     *planState
	instances []realm.Instance
	isMax     bool
}

func (h *levelHeap) Len() int { return len(h.instances) }

func (h *levelHeap) Less(i, j int) bool {
	a, b := h.instances[i], h.instances[j]
	order := cmp.Compare(h.state.level(a), h.state.level(b))
	if h.isMax {
		order = -order
	}
	return cmp.Or(order, cmp.Compare(a.ID, b.ID)) < 0
}

func (h *levelHeap) Swap(i, j int) { h.instances[i], h.instances[j] = h.instances[j], h.instances[i] }

func (h *levelHeap) Push(x any) { h.instances = append(h.instances, x.(realm.Instance)) }

func (h *levelHeap) Pop() any {
	last := h.instances[len(h.instances)-1]
	h.instances = h.instances[:len(h.instances)-1]
	return last
}

func (s *planState) newHeap(instances []realm.Instance, isMax bool) *levelHeap {
	h := &levelHeap{state: s, instances: slices.Clone(instances), isMax: isMax}
	heap.Init(h)
	return h
}

// balance returns the moves of one round of rebalancing, some at most; their ranges don't overlap. Each takes keys from the upstream
// with the highest level that has suitable ones to the upstream with the lowest level. An upstream without load gets
// keys even if no other one is overloaded.
func (p *Planner) balance(s *planState, ranges realm.Ranges, most int, isMoving func(realm.KeyRange) bool) []Move {
	var moves []Move
	if s.meanLevel == 0 {
		return nil
	}
	owned := make(map[realm.Instance]realm.Ranges, len(s.ready))
	for _, r := range ranges {
		if r.Active {
			owned[r.Owner] = append(owned[r.Owner], r)
		}
	}
	// If grants to a source may still be applied late, its keys would wait for their next owner for seconds.
	sources := s.newHeap(slices.DeleteFunc(slices.Clone(s.ready), func(i realm.Instance) bool { return !s.releasable[i] }), true)
	targets := s.newHeap(s.warm, false)
	partsFrom := make(map[realm.Instance]int)
	for len(moves) < most && sources.Len() > 0 {
		nextOwner := targets.instances[0]
		isEmpty := s.load[nextOwner] == 0
		if !isEmpty && s.level(nextOwner) > underloadedRatio*s.meanLevel {
			break
		}
		source := sources.instances[0]
		if !isEmpty && !s.isOverloaded(source) {
			break
		}
		move, ok := s.pickKeys(owned[source], source, nextOwner, s.wanted(source, nextOwner, isEmpty), isMoving)
		if !ok || partsFrom[source] >= maxPartsFromOne || source == nextOwner {
			heap.Pop(sources)
			continue
		}
		weight := s.weights.of(move.Keys)
		s.load[source] -= weight
		s.load[nextOwner] += weight
		partsFrom[source]++
		owned[source] = owned[source].Cut(move.Keys)
		moves = append(moves, move)
		heap.Init(sources)
		heap.Fix(targets, 0)
	}
	return joined(moves)
}

// isOverloaded reports whether the level of an upstream is clearly above the mean. With many upstreams each has a few
// dozen requests in the counts, so that chance alone brings some of them above the ratio.
func (s *planState) isOverloaded(instance realm.Instance) bool {
	expected := s.meanLevel * s.capacity[instance]
	threshold := overloadedRatio * expected
	if len(s.ready) > maxCoarseOwners && s.total > 0 {
		threshold += chanceDeviations * math.Sqrt(expected/s.total)
	}
	return s.load[instance] >= threshold
}

// chanceDeviations is by how many standard deviations of a count an upstream must be above the ratio.
const chanceDeviations = 1.5

// wanted returns the load to move from a source to the next owner.
func (s *planState) wanted(source, nextOwner realm.Instance, isEmpty bool) float64 {
	spare := (s.level(source) - s.meanLevel) * s.capacity[source]
	spareCapacity := (s.meanLevel - s.level(nextOwner)) * s.capacity[nextOwner]
	want := min(spare, spareCapacity)
	if isEmpty {
		want = max(want, s.load[source]/2)
	}
	return want
}

// pickKeys picks keys at an end of one range of the source, with a load of about want, and returns their move to the
// next owner. If a busy key lies at one end of a range, keys at the other end move: the busy key stays, since it would
// be the same load for any other owner. If all ends are busier than that, the least busy one moves, provided that it
// leaves the next owner at a clearly lower level than the source.
func (s *planState) pickKeys(owned realm.Ranges, source, nextOwner realm.Instance, want float64, isMoving func(realm.KeyRange) bool) (Move, bool) {
	var best, least Move
	bestWeight, leastWeight := 0.0, math.Inf(1)
	consider := func(r realm.Range, keys realm.KeyRange) {
		weight := s.weights.of(keys)
		if isMoving(keys) {
			return
		}
		move := newMove(keys, source, r.FencingToken, nextOwner)
		if weight <= 1.2*want && weight > bestWeight {
			best, bestWeight = move, weight
		}
		if weight < leastWeight {
			least, leastWeight = move, weight
		}
	}
	for _, r := range owned {
		total := s.weights.of(r.KeyRange)
		if total <= want {
			consider(r, r.KeyRange)
			continue
		}
		low := r.KeyRange
		low.To = s.weights.splitKey(r.KeyRange, want)
		consider(r, low)
		if split := s.weights.splitKey(r.KeyRange, total-want); split < r.To {
			consider(r, realm.KeyRange{From: split + 1, To: r.To})
		}
	}
	if bestWeight >= minMoveLoad*s.meanLevel {
		return best, true
	}
	levelAfter := (s.load[nextOwner] + leastWeight) / s.capacity[nextOwner]
	return least, leastWeight > 1.2*want && levelAfter <= improvedRatio*s.level(source)
}

// improvedRatio is the most that the level of the next owner may be of that of the source, after a move of keys that are
// busier than both would need.
const improvedRatio = 0.75

package admit

import "time"

// Candidate is an upstream that a request may be sent to.
type Candidate struct {
	IsNear bool          // it is in the availability zone of this host
	Cost   time.Duration // estimate of how long the request takes there
}

// Bytes between availability zones are dear, so an upstream of the own one is taken as long as it is likely to answer on
// target; beyond that one in another zone must be faster by a margin.
const (
	nearShare = 0.6 // of the time left on target that the estimate may take: work takes up to twice its mean
	farCost   = 1.3 // by which the estimate for another zone counts
)

// Choose returns the place of the best of some candidates for a request that is on target for the time left, and false
// if there are none.
func Choose(candidates []Candidate, left time.Duration) (best int, ok bool) {
	near := -1
	best = -1
	var bestCost time.Duration
	for i, one := range candidates {
		cost := one.Cost
		if one.IsNear {
			if near < 0 || cost < candidates[near].Cost {
				near = i
			}
		} else {
			cost = time.Duration(farCost * float64(cost))
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if near >= 0 && float64(candidates[near].Cost) <= nearShare*float64(left) {
		return near, true
	}
	return best, best >= 0
}

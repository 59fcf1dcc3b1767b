package admit

import "time"

// Candidate is an upstream that a request may be sent to.
type Candidate struct {
	IsNear bool          // it is in this host's availability zone
	Cost   time.Duration // estimated latency of the request there
}

// Traffic between availability zones is expensive, so an upstream in this host's zone is preferred as long as it is
// likely to respond on target. Otherwise an upstream in another zone must be faster by a margin.
const (
	nearTargetShare = 0.6 // share of the time left on target that the estimate may use: latencies reach twice the mean
	crossZoneCost   = 1.3 // factor by which the estimate for another zone is raised
)

// Choose returns the index of the best candidate for a request whose latency target is reached after the time left, and
// false if there are no candidates.
func Choose(candidates []Candidate, left time.Duration) (best int, ok bool) {
	near := -1
	best = -1
	var bestCost time.Duration
	for i, candidate := range candidates {
		cost := candidate.Cost
		if candidate.IsNear {
			if near < 0 || cost < candidates[near].Cost {
				near = i
			}
		} else {
			cost = time.Duration(crossZoneCost * float64(cost))
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if near >= 0 && float64(candidates[near].Cost) <= nearTargetShare*float64(left) {
		return near, true
	}
	return best, best >= 0
}

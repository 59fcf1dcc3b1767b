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

// Subset is the number of upstreams, the first in a host's order of preference, that the host uses while one of them is
// likely to respond on target. With hundreds of hosts and upstreams each pair would otherwise see a request once a
// minute: connections would end before they are used again, and what a host has learned of an upstream would be stale.
const Subset = 6

// ChooseNear returns the index of the candidate in this host's zone with the lowest estimated latency, and false if
// there is none or it is not likely to respond on target.
func ChooseNear(candidates []Candidate, left time.Duration) (best int, ok bool) {
	best = -1
	for i, candidate := range candidates {
		if candidate.IsNear && (best < 0 || candidate.Cost < candidates[best].Cost) {
			best = i
		}
	}
	return best, best >= 0 && isOnTarget(candidates[best], left)
}

// isOnTarget reports whether a candidate is likely to respond within the time left on target.
func isOnTarget(candidate Candidate, left time.Duration) bool {
	return float64(candidate.Cost) <= nearTargetShare*float64(left)
}

// Choose returns the index of the best candidate for a request whose latency target is reached after the time left, and
// false if there are no candidates.
func Choose(candidates []Candidate, left time.Duration) (best int, ok bool) {
	near, ok := ChooseNear(candidates, left)
	if ok {
		return near, true
	}
	best = -1
	var bestCost time.Duration
	for i, candidate := range candidates {
		cost := candidate.Cost
		if !candidate.IsNear {
			cost = time.Duration(crossZoneCost * float64(cost))
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, best >= 0
}

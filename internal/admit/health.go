package admit

import "time"

// Back-off bounds for an unreachable upstream, and weights of failed requests.
const (
	minBackoff    = 250 * time.Millisecond
	maxBackoff    = 2 * time.Second
	failureWeight = 0.15 // weight of the newest request in the average share of failures
	maxCostFactor = 8.0  // factor of the estimated cost if every request fails

	// An upstream that is full resets new connections. The back-off is short, since it is at work.
	minResetBackoff = 100 * time.Millisecond
	maxResetBackoff = time.Second
)

// Health tracks the recent failures of requests to one upstream, and the back-off while it is unreachable.
type Health struct {
	unreachableCount int // failures to reach the upstream since the last success
	resetCount       int // new connections that the upstream has reset since the last success
	backoffUntil     time.Time
	failureShare     float64
}

// Succeeded records a request that got a successful response, and ends the back-off.
func (h *Health) Succeeded() {
	h.unreachableCount, h.resetCount = 0, 0
	h.backoffUntil = time.Time{}
	h.failureShare *= 1 - failureWeight
}

// Failed records a request that could not be sent, got no response, or failed. If the upstream is unreachable, Failed
// starts a back-off that doubles each time up to a bound.
func (h *Health) Failed(now time.Time, isUnreachable bool) {
	h.failureShare += failureWeight * (1 - h.failureShare)
	if !isUnreachable {
		return
	}
	backoff := min(minBackoff<<min(h.unreachableCount, 8), maxBackoff)
	h.unreachableCount++
	h.backoffUntil = now.Add(backoff)
}

// Reset records that the upstream has reset a new connection before it sent anything, as an upstream does that is full.
// It is not lost, but a request of any host that follows would be reset too: the back-off doubles each time.
func (h *Health) Reset(now time.Time) {
	backoff := min(minResetBackoff<<min(h.resetCount, 8), maxResetBackoff)
	h.resetCount++
	if until := now.Add(backoff); until.After(h.backoffUntil) {
		h.backoffUntil = until
	}
}

// Backoff returns the time left until requests may be sent to the upstream again.
func (h *Health) Backoff(now time.Time) time.Duration { return max(0, h.backoffUntil.Sub(now)) }

// Weigh returns an estimated cost, raised by the recent share of failures.
func (h *Health) Weigh(cost time.Duration) time.Duration {
	return time.Duration(float64(cost) * (1 + (maxCostFactor-1)*h.failureShare))
}

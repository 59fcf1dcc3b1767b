package admit

import "time"

// Bounds of the time for which an upstream that fails is left alone.
const (
	firstRest = 250 * time.Millisecond
	longRest  = 2 * time.Second
	failShare = 0.15 // weight of the newest request in the share that fails
	failCost  = 8.0  // by which failing every request multiplies the estimated cost
)

// Health is how requests to one upstream have ended lately.
type Health struct {
	inRow int
	until time.Time
	share float64
}

// Succeeded notes a request that was answered well.
func (h *Health) Succeeded() {
	h.inRow = 0
	h.until = time.Time{}
	h.share *= 1 - failShare
}

// Failed notes a request that could not be sent, was not answered, or failed. An upstream that can't be reached is left
// alone, longer each time.
func (h *Health) Failed(now time.Time, isUnreachable bool) {
	h.share += failShare * (1 - h.share)
	if !isUnreachable {
		return
	}
	rest := min(firstRest<<min(h.inRow, 8), longRest)
	h.inRow++
	h.until = now.Add(rest)
}

// Backoff returns how much longer it is left alone.
func (h *Health) Backoff(now time.Time) time.Duration { return max(0, h.until.Sub(now)) }

// Weigh returns an estimated cost with the failures counted in.
func (h *Health) Weigh(cost time.Duration) time.Duration {
	return time.Duration(float64(cost) * (1 + (failCost-1)*h.share))
}

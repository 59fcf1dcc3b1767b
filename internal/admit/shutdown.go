package admit

import "time"

// Shutdown decides which requests a host still starts during a planned stop. The load pattern is a stop under load: a
// request that waits in a queue may get its turn so late that the process ends before the response, while another host
// could serve it at once.
type Shutdown struct {
	respondBy time.Time
}

// NewShutdown returns the decisions of a host that has to respond to all requests by a time.
func NewShutdown(respondBy time.Time) *Shutdown { return &Shutdown{respondBy: respondBy} }

// latencyReserve is the multiple of an upstream's average latency that has to be left when a request is sent to it. A
// request that is cut short at the upstream can't be repeated if it is not idempotent, while one that is refused can.
const latencyReserve = 2

// MayStart reports whether a request to an upstream with an average latency is likely to get its response in time.
func (s *Shutdown) MayStart(now time.Time, latency time.Duration) bool {
	return s.respondBy.Sub(now) >= latencyReserve*latency
}

// Bound returns the deadline of a request, but at the latest the time by which this host has to respond.
func (s *Shutdown) Bound(deadline time.Time) time.Time {
	if s.respondBy.Before(deadline) {
		return s.respondBy
	}
	return deadline
}

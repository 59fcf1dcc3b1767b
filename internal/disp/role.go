package disp

import (
	"sync/atomic"
	"time"

	"lovagelink.example/lovagelink/internal/state"
)

// Role is an upstream that this host dispatches for, with the slots that the upstream owns.
type Role struct {
	Upstream           state.Upstream
	NonIdempotent      bool      // some requests of the service must not run twice
	Floors             []float64 // guaranteed minimum share of each rank
	Slots              map[int]state.Slot
	PreviousDispatcher string // a host that may still act as the dispatcher
	ZoneBound          bool   // the upstream is served by its own zone, even while the zone is cut off
	Unkeyed            bool   // the service has no keys: each of its upstreams can serve any request
}

// ZoneLease is how long a zone that is cut off continues to serve without asking its hosts again.
const ZoneLease = 500 * time.Millisecond

// AnySlot is the slot number of requests that may run on any upstream: those that a zone serves on its own, and those
// that are offloaded.
const AnySlot = -1

// ownedSlot is the dispatcher's state of a slot that the upstream owns.
type ownedSlot struct {
	number         int
	epoch          uint64
	ready          chan struct{} // closes once the earlier requests of the slot are known
	releaseStarted chan struct{} // closes when the slot is to be handed over or no longer owned, or the dispatcher closes
	releasing      bool          // accepts no more requests
	active         int           // requests that are queued or running
	count          int           // requests since the last report
	ownedSince     time.Time     // when this host took the slot over
	incomplete     atomic.Bool   // the history of earlier requests is incomplete
}

func newOwnedSlot(now time.Time, number int, epoch uint64) *ownedSlot {
	return &ownedSlot{ownedSince: now, number: number, epoch: epoch, ready: make(chan struct{}), releaseStarted: make(chan struct{})}
}

// startRelease stops the slot from accepting requests; once none is active, the slot can be handed over.
func (s *ownedSlot) startRelease() {
	if !s.releasing {
		s.releasing = true
		close(s.releaseStarted)
	}
}

// mayHaveUnknownAttempt reports whether a request may have an earlier attempt that no host has reported.
func (s *ownedSlot) mayHaveUnknownAttempt(now time.Time, r Request) bool {
	return s.incomplete.Load() && (r.MaybeSent || r.Age > now.Sub(s.ownedSince))
}

func (s *ownedSlot) isReady() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

package disp

import (
	"sync/atomic"
	"time"

	"lovagelink.example/lovagelink/internal/state"
)

// Role is one upstream of which this host is the dispatcher, with the slots that it owns.
type Role struct {
	Upstream           state.Upstream
	NonIdempotent      bool // some work of the service must not repeat
	Floors             []float64
	Slots              map[int]state.Slot
	PreviousDispatcher string // a host that may still believe that it is the dispatcher
	ZoneBound          bool   // the upstream is served by its own zone, even one that is cut off
	Unkeyed            bool   // the service has no keys: any of its upstreams can do any work
}

// ZoneLease is how long a zone that is cut off goes on without asking its hosts again.
const ZoneLease = 500 * time.Millisecond

// AnySlot is the slot of free work: what a zone serves on its own, and what is offloaded.
const AnySlot = -1

// share is one slot of the upstream as its dispatcher sees it.
type share struct {
	number int
	epoch  uint64
	ready  chan struct{} // closes once earlier requests of the slot are known
	gone   chan struct{} // closes when the slot is to be handed over or has been taken away
	moving bool
	active int         // requests that were sent and are not answered
	count  int         // requests since the last report
	since  time.Time   // when this host took the slot over
	gap    atomic.Bool // what earlier requests became of is not wholly known
}

func newShare(now time.Time, number int, epoch uint64) *share {
	return &share{since: now, number: number, epoch: epoch, ready: make(chan struct{}), gone: make(chan struct{})}
}

// leave begins the handing over.
func (s *share) leave() {
	if !s.moving {
		s.moving = true
		close(s.gone)
	}
}

// mayHide reports whether an earlier attempt of a request may be one that nobody has told of.
func (s *share) mayHide(now time.Time, r Request) bool {
	return s.gap.Load() && (r.MaybeSent || r.Age > now.Sub(s.since))
}

func (s *share) isReady() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

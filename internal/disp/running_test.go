package disp

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/memnet"
	"lovagelink.example/lovagelink/internal/state"
)

func newDispatcher() *Dispatcher {
	return newDispatcherOn(memnet.New(func(_, _ memnet.Place) time.Duration { return 0 }))
}

func newDispatcherOn(network *memnet.Net) *Dispatcher {
	role := Role{
		Upstream: state.Upstream{Announced: state.Announced{ID: "u", Service: "plan", Concurrency: 1, Connections: 1}},
		Floors:   []float64{0},
	}
	return New(time.Now(), role, Deps{Host: "h", Network: network.At("z", "h"), Dedup: NewDedupTable(), Stats: &Stats{}})
}

// An overdue request lets the next request start, but its slot stays granted until the request has ended: a slot that
// is handed over while the upstream may still work on a request of it would have two owners.
func TestOverdueRequestKeepsItsSlot(t *testing.T) {
	is := is.New(t)
	d := newDispatcher()
	s := newOwnedSlot(time.Now(), 3, 1)
	d.slots[3] = s
	d.running, s.active = 1, 1
	running := runningRequest{d: d, s: s}
	running.releaseConcurrency()
	is.Equal(d.running, 0)
	is.Equal(s.active, 1)
	s.startRelease()
	is.Equal(len(d.grantableSlots()), 1) // still granted while the request may run
	running.end()
	is.Equal(d.running, 0) // released only once
	is.Equal(s.active, 0)
	is.Equal(len(d.grantableSlots()), 0)
}

// A rank counts as overloaded only after the wait has been too long for a while, and until the wait has been short
// enough for a while.
func TestOverloadHasHysteresis(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var o overloadDetector
	is.True(!o.update(now, true))
	is.True(!o.update(now.Add(overloadStartDelay), true))
	is.True(o.update(now.Add(overloadStartDelay+1), true))
	is.True(o.update(now.Add(2*time.Second), false))
	is.True(o.update(now.Add(3*time.Second), true)) // the delay to the end of the overload restarts
	is.True(o.update(now.Add(4*time.Second), false))
	is.True(!o.update(now.Add(4*time.Second+overloadEndDelay+1), false))
}

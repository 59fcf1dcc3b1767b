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

// An overdue request gives its place to the next one, but its slot stays in use until it has ended: a
// slot that is handed over while the upstream may still work on it has two owners.
func TestOverdueRequestKeepsItsSlot(t *testing.T) {
	is := is.New(t)
	d := newDispatcher()
	s := newShare(time.Now(), 3, 1)
	d.shares[3] = s
	d.running, s.active = 1, 1
	place := turn{d: d, s: s}
	place.free()
	is.Equal(d.running, 0)
	is.Equal(s.active, 1)
	s.leave()
	is.Equal(len(d.grantable()), 1) // still granted while the request may run
	place.end()
	is.Equal(d.running, 0) // freed once
	is.Equal(s.active, 0)
	is.Equal(len(d.grantable()), 0)
}

// A rank counts as overloaded only after a while, and only for as long as it stays so.
func TestOverloadHasHysteresis(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var o overload
	is.True(!o.update(now, true))
	is.True(!o.update(now.Add(overloadAfter), true))
	is.True(o.update(now.Add(overloadAfter+1), true))
	is.True(o.update(now.Add(2*time.Second), false))
	is.True(o.update(now.Add(3*time.Second), true)) // the way back starts anew
	is.True(o.update(now.Add(4*time.Second), false))
	is.True(!o.update(now.Add(4*time.Second+overloadEnds+1), false))
}

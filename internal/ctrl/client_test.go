package ctrl

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/event"
	"lovagelink.example/lovagelink/internal/memnet"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
)

// nothing reports nothing.
type nothing struct{}

func (nothing) Report(time.Time, bool) Heartbeat { return Heartbeat{} }

// A host asks a resort only when no source answers: a resort may wait for this host itself, so that asking
// it would hold the state up for as long as a question waits.
func TestResortsAreLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(func(_, _ memnet.Place) time.Duration { return time.Millisecond })
		addresses := make(map[string]netip.AddrPort)
		for _, name := range []string{"self", "source", "resort"} {
			addresses[name], _ = network.NextAddress()
		}
		asked := make(map[string]*atomic.Int64)
		hubs := make(map[string]*peer.Endpoint)
		for _, name := range []string{"source", "resort"} {
			count := &atomic.Int64{}
			asked[name] = count
			hubs[name] = peer.New(network.At("a", name), name, addresses)
			peer.HandleTyped(hubs[name], "watch", func(context.Context, string, WatchArgs) (state.Batch, error) {
				count.Add(1)
				return state.Batch{}, nil // nothing new
			})
			is.NoErr(hubs[name].Start())
		}
		hub := peer.New(network.At("a", "self"), "self", addresses)
		is.NoErr(hub.Start())
		sources := Sources{Preferred: []string{"self", "source"}, Fallbacks: []string{"resort"}}
		c := NewClient("self", hub, state.NewStore(), []string{"source"}, sources, nothing{}, &event.Clock{})
		c.newest = 1 // a leader has told of something that the source does not know yet
		c.tomb.Go(c.watchLoop)
		time.Sleep(time.Second)
		is.True(asked["source"].Load() > 10)
		is.Equal(asked["resort"].Load(), int64(0))
		hubs["source"].Stop()
		time.Sleep(5 * time.Second)
		is.True(asked["resort"].Load() > 0)
		c.Stop()
		hub.Stop()
		hubs["resort"].Stop()
	})
}

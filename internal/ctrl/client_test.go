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

// emptyReporter returns empty heartbeats.
type emptyReporter struct{}

func (emptyReporter) Report(time.Time, bool) Heartbeat { return Heartbeat{} }

// A host watches a fallback only when no preferred source replies. A fallback may itself be waiting for state from this
// host, so a call to it would delay the state by the whole watch timeout.
func TestFallbacksAreLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(func(_, _ memnet.Place) time.Duration { return time.Millisecond })
		addresses := make(map[string]netip.AddrPort)
		for _, name := range []string{"self", "source", "resort"} {
			addresses[name], _ = network.NextAddress()
		}
		watchCounts := make(map[string]*atomic.Int64)
		endpoints := make(map[string]*peer.Endpoint)
		for _, name := range []string{"source", "resort"} {
			count := &atomic.Int64{}
			watchCounts[name] = count
			endpoints[name] = peer.New(network.At("a", name), name, addresses)
			peer.HandleTyped(endpoints[name], "watch", func(context.Context, string, WatchArgs) (state.Batch, error) {
				count.Add(1)
				return state.Batch{}, nil // nothing new
			})
			is.NoErr(endpoints[name].Start())
		}
		endpoint := peer.New(network.At("a", "self"), "self", addresses)
		is.NoErr(endpoint.Start())
		sources := Sources{Preferred: []string{"self", "source"}, Fallbacks: []string{"resort"}}
		c := NewClient("self", endpoint, state.NewStore(), []string{"source"}, sources, emptyReporter{}, &event.Clock{})
		c.leaderIndex = 1 // a leader has reported an index that the source has not applied yet
		c.tomb.Go(c.watchLoop)
		time.Sleep(time.Second)
		is.True(watchCounts["source"].Load() > 10)
		is.Equal(watchCounts["resort"].Load(), int64(0))
		endpoints["source"].Stop()
		time.Sleep(5 * time.Second)
		is.True(watchCounts["resort"].Load() > 0)
		c.Stop()
		endpoint.Stop()
		endpoints["resort"].Stop()
	})
}

package ctrl

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/state"
)

// A restarted host gets its upstream back under its new life, not under the one that is gone.
func TestDispatchFollowsIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := state.New()
	s.Hosts["b1"] = &state.Host{Name: "b1", Zone: "b", Incarnation: "old", Up: true}
	s.Upstreams["u"] = &state.Upstream{
		Announced: state.Announced{ID: "u", Zone: "b"}, Dispatcher: "b1", DispatcherIncarnation: "old", Epoch: 7,
	}
	l := &Controller{hosts: map[string]hostReport{"b1": {zone: "b", incarnation: "new"}}, relieved: now}
	is.Equal(len(l.planDispatch(now, s)), 0) // not yet marked up
	s.Hosts["b1"].Incarnation = "new"
	is.Equal(l.planDispatch(now, s), []state.DispatcherAssignment{{Upstream: "u", ExpectedEpoch: 7, Host: "b1", Incarnation: "new"}})
}

// A host that was just marked up keeps its lease until the first heartbeat under it.
func TestMarkedUpHostHasLease(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := newLeases(now, nil)
	l.welcome(now, "a1", "x")
	is.True(!l.condemn(now.Add(HostLeaseDuration-1), "a1", "x"))
	is.True(l.renew(now.Add(time.Second), "a1", "x"))
	is.True(!l.condemn(now.Add(HostLeaseDuration), "a1", "x"))
	is.True(l.condemn(now.Add(time.Second+HostLeaseDuration), "a1", "x"))
	is.True(!l.renew(now.Add(2*HostLeaseDuration+time.Second), "a1", "x")) // condemned for good
}

// A host that no longer follows the state loses its lease even while heartbeats are answered.
func TestLeaseNeedsState(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := &Client{feed: state.NewStore(), offer: now.Add(time.Second), needed: 5}
	is.True(c.LeaseUntil().IsZero())
	c.feed.Apply(5, []byte("{}"))
	is.Equal(c.LeaseUntil(), now.Add(time.Second))
}

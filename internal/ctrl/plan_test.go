package ctrl

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/state"
)

// A restarted host is assigned its upstream again under its new incarnation, not under the ended one.
func TestDispatchFollowsIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := state.New()
	s.Hosts["b1"] = &state.Host{Name: "b1", Zone: "b", Incarnation: "old", Up: true}
	s.Upstreams["u"] = &state.Upstream{
		Announced: state.Announced{ID: "u", Zone: "b"}, Dispatcher: "b1", DispatcherIncarnation: "old", Epoch: 7,
	}
	c := &Controller{hosts: map[string]hostReport{"b1": {zone: "b", incarnation: "new"}}, dispatchersBalancedAt: now}
	is.Equal(len(c.planDispatchers(now, s)), 0) // not yet marked up
	s.Hosts["b1"].Incarnation = "new"
	is.Equal(c.planDispatchers(now, s), []state.DispatcherAssignment{{Upstream: "u", ExpectedEpoch: 7, Host: "b1", Incarnation: "new"}})
}

// A host that was just marked up holds a lease before its first heartbeat renews it, so it isn't marked down at once.
func TestMarkedUpHostHasLease(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := newLeases(now, nil)
	l.grant(now, "a1", "x")
	is.True(!l.expire(now.Add(HostLeaseDuration-1), "a1", "x"))
	is.True(l.renew(now.Add(time.Second), "a1", "x"))
	is.True(!l.expire(now.Add(HostLeaseDuration), "a1", "x"))
	is.True(l.expire(now.Add(time.Second+HostLeaseDuration), "a1", "x"))
	is.True(!l.renew(now.Add(2*HostLeaseDuration+time.Second), "a1", "x")) // an expired lease is never renewed
}

// A host that no longer follows the state loses its lease even while the leader replies to its heartbeats.
func TestLeaseNeedsState(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := &Client{store: state.NewStore(), offeredLeaseEnd: now.Add(time.Second), offeredLeaseIndex: 5}
	is.True(c.LeaseUntil().IsZero())
	c.store.Apply(5, []byte("{}"))
	is.Equal(c.LeaseUntil(), now.Add(time.Second))
}

package core

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/clock"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
	"lovagelink.example/lovagelink/internal/site"
)

// upstreams are stand-ins that note which of them holds which keys, and whether two ever held the same.
type upstreams struct {
	mu     sync.Mutex
	holds  map[netip.AddrPort]realm.Ranges
	fences map[netip.AddrPort]uint64
	broken error
	slow   time.Duration // of each call
	calls  int
	linked map[netip.AddrPort]bool   // a connection for grants is open
	former map[netip.AddrPort]uint64 // highest fence that went to an earlier process at an address
}

var (
	errTwoOwners = errors.New("two upstreams hold the same key")
	errOldFence  = errors.New("an upstream has taken keys under a fence that its predecessor has had")
)

// replace ends the process at an address and begins another one there, which knows nothing.
func (u *upstreams) replace(at netip.AddrPort) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.former[at] = max(u.former[at], u.fences[at])
	delete(u.holds, at)
	delete(u.linked, at)
}

func (u *upstreams) Grant(_ context.Context, target calls.Target, grant calls.Grant) error {
	time.Sleep(u.slow)
	u.mu.Lock()
	defer u.mu.Unlock()
	to, keys, fence := target.Address, realm.KeyRange{From: grant.From, To: grant.To}, grant.FencingToken
	if grant.ReuseOnly && !u.linked[to] {
		return calls.ErrNotLinked
	}
	u.linked[to] = true
	u.calls++
	if fence <= u.former[to] {
		u.broken = errOldFence
	}
	u.fences[to] = max(u.fences[to], fence)
	for other, ranges := range u.holds {
		for _, one := range ranges {
			if other != to && one.Overlaps(keys) {
				u.broken = errTwoOwners
			}
		}
	}
	u.holds[to] = u.holds[to].Put(realm.Range{KeyRange: keys, FencingToken: fence})
	return nil
}

func (u *upstreams) Release(_ context.Context, to calls.Target, keys realm.KeyRange, _ uint64) (string, error) {
	time.Sleep(u.slow)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.holds[to.Address] = u.holds[to.Address].Cut(keys)
	return "handover", nil
}

func newUpstreams() *upstreams {
	return &upstreams{
		holds: make(map[netip.AddrPort]realm.Ranges), fences: make(map[netip.AddrPort]uint64),
		linked: make(map[netip.AddrPort]bool), former: make(map[netip.AddrPort]uint64),
	}
}

func (u *upstreams) held(at netip.AddrPort) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	sum := 0
	for _, one := range u.holds[at] {
		sum += one.Size()
	}
	return sum
}

// place is a loopback address apart from those of other processes.
func place(last byte, port uint16) netip.AddrPort {
	pid := os.Getpid()
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(120 + pid/250%40), byte(pid % 250), last}), port)
}

// alone starts a control host that is the only one.
func alone(t *testing.T, last byte, orders UpstreamClient) *Host {
	t.Helper()
	settings := site.Host{
		Name: "core-1", IP: place(last, 0).Addr(), Internal: 29201, Seeds: []netip.AddrPort{place(last, 29200)}, Bootstrap: true,
		DataFolder: t.TempDir(), Control: place(last, 29200), Bounds: site.Bounds{MaxGrantTTL: 10 * time.Second, HeartbeatInterval: 100 * time.Millisecond},
	}
	hub := peer.NewDynamic(peer.TCP{}, settings.PeerName(settings.Control), settings.PeerAddress(settings.Control))
	h, err := New(time.Now(), settings, hub, func() UpstreamClient { return orders }, clock.New(), log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	if err := hub.Start(); err != nil {
		t.Fatal(err)
	}
	h.Start()
	t.Cleanup(func() {
		h.Stop()
		hub.Stop()
	})
	await(t, "a leader", func() bool {
		_, leads := h.leads(time.Now())
		return leads
	})
	return h
}

func await(t *testing.T, what string, check func() bool) {
	t.Helper()
	for range 1500 {
		if check() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("did not come: " + what)
}

// beat sends the heartbeats of some upstreams until the test ends.
func beat(t *testing.T, h *Host, ids ...byte) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, id := range ids {
		go func() {
			for sequence := int64(1); ctx.Err() == nil; sequence++ {
				_ = h.Heartbeat(ctx, time.Now(), upstreamOf(id), sequence) // the next one comes soon
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
}

func upstreamOf(id byte) realm.Upstream {
	return realm.Upstream{Instance: realm.Instance{ID: string(rune('a' + id)), StartMillis: 1}, Service: "s", Address: place(id, 29300), Concurrency: 2}
}

// While keys move again and again, and calls take some time, no upstream is granted keys that another one holds: a
// renewal that was read from the state before a move is not sent behind it.
func TestRenewalsDoNotCrossMoves(t *testing.T) {
	is := is.New(t)
	u := newUpstreams()
	u.slow = 2 * time.Millisecond
	h := alone(t, 1, u)
	ctx := context.Background()
	is.NoErr(h.AcceptConfig(ctx, time.Now(), route.Config{Version: 1, Services: []route.Service{{Name: "s", Keyed: true}}}, []byte("1")))
	beat(t, h, 0, 1, 2, 3)
	await(t, "all keys granted", func() bool {
		sum := 0
		for id := range byte(4) {
			sum += u.held(place(id, 29300))
		}
		return sum == realm.AllKeys.Size()
	})
	for round := range 8 { // the load jumps from one part of the keys to another, so that keys move
		for range 4 {
			counts := map[int]int{}
			for bucket := range 16 {
				counts[(round*37+bucket)%256] = 200
			}
			_, err := h.handleReport(ctx, "front-1", Report{Loads: map[string]map[int]int{"s": counts}})
			is.NoErr(err)
			time.Sleep(150 * time.Millisecond)
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	is.NoErr(u.broken)
	is.True(u.calls > 20)
}

// An upstream ends unseen, another process takes its place under its id and address, and a late heartbeat of the former
// one still comes: the new one is granted keys under new fences only.
func TestSuccessorGetsNewFences(t *testing.T) {
	is := is.New(t)
	u := newUpstreams()
	h := alone(t, 6, u)
	ctx := context.Background()
	is.NoErr(h.AcceptConfig(ctx, time.Now(), route.Config{Version: 1, Services: []route.Service{{Name: "s", Keyed: true}}}, []byte("1")))
	beat(t, h, 30, 31)
	at := place(30, 29300)
	await(t, "keys granted", func() bool { return u.held(at) > 0 && u.held(place(31, 29300)) > 0 })
	for range 3 {
		u.replace(at)
		await(t, "keys granted again", func() bool { return u.held(at) > 0 })
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	is.NoErr(u.broken)
}

// An upstream that says it leaves is acknowledged, and its keys go to the others.
func TestKeysOfLeaverMove(t *testing.T) {
	is := is.New(t)
	u := newUpstreams()
	h := alone(t, 2, u)
	ctx := context.Background()
	is.NoErr(h.AcceptConfig(ctx, time.Now(), route.Config{Version: 1, Services: []route.Service{{Name: "s", Keyed: true}}}, []byte("1")))
	beat(t, h, 10, 11)
	await(t, "keys granted", func() bool { return u.held(place(10, 29300)) > 0 && u.held(place(11, 29300)) > 0 })
	is.NoErr(h.Deregister(ctx, time.Now(), upstreamOf(10).ID))
	await(t, "all keys at the other one", func() bool {
		return u.held(place(10, 29300)) == 0 && u.held(place(11, 29300)) == realm.AllKeys.Size()
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	is.NoErr(u.broken)
}

// What was decided on in one leadership is not carried out in another: a leader in between may have granted what was
// free.
func TestDecisionsEndWithTheirLeadership(t *testing.T) {
	is := is.New(t)
	h := alone(t, 5, newUpstreams())
	is.NoErr(h.AcceptConfig(context.Background(), time.Now(), route.Config{Version: 1, Services: []route.Service{{Name: "s", Keyed: true}}}, []byte("1")))
	status, _ := h.leads(time.Now())
	status.Ballot.Round--
	earlier := newKeeper(time.Now(), h, status)
	defer earlier.stop()
	earlier.insist(realm.Command{Assignments: []realm.Assignment{{Service: "s", Keys: realm.AllKeys, Owner: realm.Instance{ID: "x"}}}})
	is.True(earlier.host.propose(context.Background(), earlier.ballot, realm.Command{}) != nil)
	h.Read(func(s *realm.State) { is.True(s.Ownership["s"] == nil) })
}

// A leader tells how many hosts carry traffic only once it has heard all of them.
func TestNewLeaderCountsBeforeItTells(t *testing.T) {
	is := is.New(t)
	h := alone(t, 3, newUpstreams())
	reply, err := h.handleReport(context.Background(), "front-1", Report{})
	is.NoErr(err)
	is.True(reply.OK)
	is.Equal(reply.Hosts, 0)
	h.mu.Lock()
	h.countedFrom = time.Now().Add(-callerKept - time.Second)
	h.mu.Unlock()
	reply, err = h.handleReport(context.Background(), "front-2", Report{})
	is.NoErr(err)
	is.Equal(reply.Hosts, 2)
}

// An upstream that was lost and is heard again by another host counts as heard by the leader, which would otherwise take
// it for lost once more until the next word on heartbeats comes.
func TestReturnIsHeardByTheLeader(t *testing.T) {
	is := is.New(t)
	h := alone(t, 8, newUpstreams())
	u := upstreamOf(50)
	before := time.Now()
	reply, err := h.handleOrder(context.Background(), "core-2", realm.Command{Join: []realm.Upstream{u}})
	is.NoErr(err)
	is.True(reply.OK)
	is.True(!h.lastHeard(u.Instance, time.Time{}).Before(before))
}

// A heartbeat for a service that no configuration names registers nothing, and ends nobody at the address that it names.
func TestStrangeServiceEndsNobody(t *testing.T) {
	is := is.New(t)
	h := alone(t, 7, newUpstreams())
	ctx := context.Background()
	is.NoErr(h.AcceptConfig(ctx, time.Now(), route.Config{Version: 1, Services: []route.Service{{Name: "s", Keyed: true}}}, []byte("1")))
	sound := upstreamOf(40)
	is.NoErr(h.Heartbeat(ctx, time.Now(), sound, 1))
	strange := sound
	strange.Instance, strange.Service = realm.Instance{ID: "strange", StartMillis: 99}, "other"
	is.NoErr(h.Heartbeat(ctx, time.Now(), strange, 1))
	h.Read(func(s *realm.State) {
		is.True(s.Upstreams["strange"] == nil)
		is.True(!s.Upstreams[sound.ID].Ended)
	})
	is.NoErr(h.AcceptConfig(ctx, time.Now(), route.Config{Version: 2, Services: []route.Service{{Name: "s", Keyed: true}, {Name: "other"}}}, []byte("2")))
	is.NoErr(h.Heartbeat(ctx, time.Now(), strange, 2))
	h.Read(func(s *realm.State) { is.True(s.Upstreams["strange"] != nil) })
}

// Heartbeats of an earlier life, and those that were overtaken, change nothing.
func TestLateHeartbeats(t *testing.T) {
	is := is.New(t)
	h := alone(t, 4, newUpstreams())
	ctx := context.Background()
	phase := func() (realm.Phase, int64) {
		var u realm.Upstream
		h.Read(func(s *realm.State) { u = *s.Upstreams["u"] })
		return u.Phase, u.StartMillis
	}
	say := func(born, sequence int64, phase realm.Phase) {
		t.Helper()
		is.NoErr(h.Heartbeat(ctx, time.Now(), realm.Upstream{
			Instance: realm.Instance{ID: "u", StartMillis: born}, Service: "s", Address: place(9, 29300), Concurrency: 2, Phase: phase,
		}, sequence))
	}
	say(10, 1, realm.Ready)
	say(20, 1, realm.Ready)
	say(10, 9, realm.Draining)
	got, born := phase()
	is.Equal(got, realm.Ready)
	is.Equal(born, int64(20))
	say(20, 5, realm.Draining)
	say(20, 4, realm.Ready)
	got, _ = phase()
	is.Equal(got, realm.Draining)
}

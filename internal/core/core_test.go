package core

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
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

// fakeUpstreams records the keys of each upstream, and whether two upstreams ever owned the same key or a token was
// reused.
type fakeUpstreams struct {
	mu           sync.Mutex
	owned        map[netip.AddrPort]realm.Ranges
	tokens       map[netip.AddrPort]uint64
	violation    error
	latency      time.Duration // delay of each call
	grants       int
	connected    map[netip.AddrPort]bool   // addresses with an open connection for grants
	formerTokens map[netip.AddrPort]uint64 // highest fencing token that an earlier process at the address was sent
}

var (
	errTwoOwners   = errors.New("two upstreams own the same key")
	errReusedToken = errors.New("an upstream was granted keys with a fencing token that an earlier process at its address may have seen")
)

// restart replaces the process at an address by a new one, which has no keys and no connection.
func (u *fakeUpstreams) restart(address netip.AddrPort) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.formerTokens[address] = max(u.formerTokens[address], u.tokens[address])
	delete(u.owned, address)
	delete(u.connected, address)
}

func (u *fakeUpstreams) Grant(_ context.Context, target calls.Target, grant calls.Grant) error {
	time.Sleep(u.latency)
	u.mu.Lock()
	defer u.mu.Unlock()
	to, keys, token := target.Address, realm.KeyRange{From: grant.From, To: grant.To}, grant.FencingToken
	if grant.ReuseOnly && !u.connected[to] {
		return calls.ErrNotConnected
	}
	u.connected[to] = true
	u.grants++
	if token <= u.formerTokens[to] {
		u.violation = errReusedToken
	}
	u.tokens[to] = max(u.tokens[to], token)
	for other, ranges := range u.owned {
		for _, r := range ranges {
			if other != to && r.Overlaps(keys) {
				u.violation = errTwoOwners
			}
		}
	}
	u.owned[to] = u.owned[to].Put(realm.Range{KeyRange: keys, FencingToken: token})
	return nil
}

func (u *fakeUpstreams) Release(_ context.Context, to calls.Target, keys realm.KeyRange, _ uint64) (string, error) {
	time.Sleep(u.latency)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.owned[to.Address] = u.owned[to.Address].Cut(keys)
	return "handover", nil
}

func newFakeUpstreams() *fakeUpstreams {
	return &fakeUpstreams{
		owned: make(map[netip.AddrPort]realm.Ranges), tokens: make(map[netip.AddrPort]uint64),
		connected: make(map[netip.AddrPort]bool), formerTokens: make(map[netip.AddrPort]uint64),
	}
}

func (u *fakeUpstreams) ownedKeys(address netip.AddrPort) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	sum := 0
	for _, r := range u.owned[address] {
		sum += r.Size()
	}
	return sum
}

// loopback returns a loopback address that other processes of the test don't use.
func loopback(last byte, port uint16) netip.AddrPort {
	pid := os.Getpid()
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(120 + pid/250%40), byte(pid % 250), last}), port)
}

// startHost starts the only control host of a deployment and waits until it leads.
func startHost(t *testing.T, last byte, client UpstreamClient) *Host {
	t.Helper()
	h, stop := startHostIn(t, last, t.TempDir(), func() UpstreamClient { return client }, clock.New())
	t.Cleanup(stop)
	return h
}

// startHostIn is like startHost for a data folder that may hold the state of an earlier run.
func startHostIn(t *testing.T, last byte, folder string, newClient func() UpstreamClient, suspends *clock.SuspendDetector) (*Host, func()) {
	t.Helper()
	settings := site.Host{
		Name: "core-1", IP: loopback(last, 0).Addr(), Internal: 29201, Seeds: []netip.AddrPort{loopback(last, 29200)}, Bootstrap: true,
		DataFolder: folder, Control: loopback(last, 29200), LostHosts: 1, Bounds: site.Bounds{CatchUp: 4 * time.Second, MaxGrantTTL: 10 * time.Second, HeartbeatInterval: 100 * time.Millisecond},
	}
	endpoint := peer.NewDynamic(peer.TCP{}, settings.PeerName(settings.Control), settings.PeerAddress(settings.Control))
	h, err := New(time.Now(), settings, endpoint, newClient, suspends, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	if err := endpoint.Start(); err != nil {
		t.Fatal(err)
	}
	h.Start()
	waitFor(t, "a leader", func() bool {
		_, leads := h.leads(time.Now())
		return leads
	})
	return h, func() {
		h.Stop()
		endpoint.Stop()
	}
}

func waitFor(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for range 1500 {
		if check() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("timed out waiting for " + condition)
}

// sendHeartbeats sends the heartbeats of upstreams until the test ends.
func sendHeartbeats(t *testing.T, h *Host, ids ...byte) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, id := range ids {
		go func() {
			for sequence := int64(1); ctx.Err() == nil; sequence++ {
				_ = h.Heartbeat(ctx, time.Now(), upstreamOf(id), sequence) // the next heartbeat follows soon
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
}

func upstreamOf(id byte) realm.Upstream {
	return realm.Upstream{Instance: realm.Instance{ID: string(rune('a' + id)), StartMillis: 1}, Service: "s", Address: loopback(id, 29300), Concurrency: 2}
}

// While keys keep moving and calls have some latency, no upstream is granted keys that another upstream owns. This
// would happen if a renewal that was read from the state before a move were sent after it.
func TestRenewalsDoNotCrossMoves(t *testing.T) {
	is := is.New(t)
	u := newFakeUpstreams()
	u.latency = 2 * time.Millisecond
	h := startHost(t, 1, u)
	ctx := context.Background()
	is.NoErr(h.AcceptConfig(ctx, time.Now(), route.Config{Version: 1, Services: []route.Service{{Name: "s", Keyed: true}}}, []byte("1")))
	sendHeartbeats(t, h, 0, 1, 2, 3)
	waitFor(t, "all keys granted", func() bool {
		sum := 0
		for id := range byte(4) {
			sum += u.ownedKeys(loopback(id, 29300))
		}
		return sum == realm.AllKeys.Size()
	})
	for round := range 8 { // the load shifts from one range of keys to another, so that keys move
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
	is.NoErr(u.violation)
	is.True(u.grants > 20)
}

// An upstream ends unnoticed, another process starts with its id and address, and a late heartbeat of the earlier
// process still arrives: the new process is granted keys with new fencing tokens only.
func TestSuccessorGetsNewFences(t *testing.T) {
	is := is.New(t)
	u := newFakeUpstreams()
	h := startHost(t, 6, u)
	ctx := context.Background()
	is.NoErr(h.AcceptConfig(ctx, time.Now(), route.Config{Version: 1, Services: []route.Service{{Name: "s", Keyed: true}}}, []byte("1")))
	sendHeartbeats(t, h, 30, 31)
	at := loopback(30, 29300)
	waitFor(t, "keys granted", func() bool { return u.ownedKeys(at) > 0 && u.ownedKeys(loopback(31, 29300)) > 0 })
	for range 3 {
		u.restart(at)
		waitFor(t, "keys granted again", func() bool { return u.ownedKeys(at) > 0 })
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	is.NoErr(u.violation)
}

// An upstream that deregisters is acknowledged, and its keys move to the other upstreams.
func TestKeysOfLeaverMove(t *testing.T) {
	is := is.New(t)
	u := newFakeUpstreams()
	h := startHost(t, 2, u)
	ctx := context.Background()
	is.NoErr(h.AcceptConfig(ctx, time.Now(), route.Config{Version: 1, Services: []route.Service{{Name: "s", Keyed: true}}}, []byte("1")))
	sendHeartbeats(t, h, 10, 11)
	waitFor(t, "keys granted", func() bool { return u.ownedKeys(loopback(10, 29300)) > 0 && u.ownedKeys(loopback(11, 29300)) > 0 })
	is.NoErr(h.Deregister(ctx, time.Now(), upstreamOf(10).ID))
	waitFor(t, "all keys at the other upstream", func() bool {
		return u.ownedKeys(loopback(10, 29300)) == 0 && u.ownedKeys(loopback(11, 29300)) == realm.AllKeys.Size()
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	is.NoErr(u.violation)
}

// A command that was decided on in one tenure of a leader is not proposed in a later one: a leader in between may have
// granted the same keys.
func TestDecisionsEndWithTheirLeadership(t *testing.T) {
	is := is.New(t)
	h := startHost(t, 5, newFakeUpstreams())
	is.NoErr(h.AcceptConfig(context.Background(), time.Now(), route.Config{Version: 1, Services: []route.Service{{Name: "s", Keyed: true}}}, []byte("1")))
	status, _ := h.leads(time.Now())
	status.Ballot.Round--
	former := newKeyManager(time.Now(), h, status)
	defer former.stop()
	former.proposeUntilKnown(realm.Command{Assignments: []realm.Assignment{{Service: "s", Keys: realm.AllKeys, Owner: realm.Instance{ID: "x"}}}})
	is.True(former.host.propose(context.Background(), former.ballot, realm.Command{}) != nil)
	h.Read(func(s *realm.State) { is.True(s.Ownership["s"] == nil) })
}

// A leader reports the number of entry hosts only once it has counted long enough to have a report of each.
func TestNewLeaderWithholdsHostCount(t *testing.T) {
	is := is.New(t)
	h := startHost(t, 3, newFakeUpstreams())
	reply, err := h.handleReport(context.Background(), "front-1", Report{})
	is.NoErr(err)
	is.True(reply.OK)
	is.Equal(reply.Hosts, 0)
	h.mu.Lock()
	h.countSince = time.Now().Add(-entryHostTTL - time.Second)
	h.mu.Unlock()
	reply, err = h.handleReport(context.Background(), "front-2", Report{})
	is.NoErr(err)
	is.Equal(reply.Hosts, 2)
}

// When another host forwards the registration of an upstream that was lost, this counts as a heartbeat at the leader.
// Otherwise the leader would mark the upstream lost again until the next report of heartbeats arrives.
func TestForwardedJoinCountsAsHeartbeat(t *testing.T) {
	is := is.New(t)
	h := startHost(t, 8, newFakeUpstreams())
	u := upstreamOf(50)
	before := time.Now()
	reply, err := h.handlePropose(context.Background(), "core-2", realm.Command{Join: []realm.Upstream{u}})
	is.NoErr(err)
	is.True(reply.OK)
	is.True(!h.lastHeartbeat(u.Instance, time.Time{}).Before(before))
}

// A heartbeat for a service that the configuration doesn't have registers nothing, and doesn't end the upstream that is
// registered at the same address.
func TestUnknownServiceRegistersNothing(t *testing.T) {
	is := is.New(t)
	h := startHost(t, 7, newFakeUpstreams())
	ctx := context.Background()
	is.NoErr(h.AcceptConfig(ctx, time.Now(), route.Config{Version: 1, Services: []route.Service{{Name: "s", Keyed: true}}}, []byte("1")))
	registered := upstreamOf(40)
	is.NoErr(h.Heartbeat(ctx, time.Now(), registered, 1))
	unknown := registered
	unknown.Instance, unknown.Service = realm.Instance{ID: "strange", StartMillis: 99}, "other"
	is.NoErr(h.Heartbeat(ctx, time.Now(), unknown, 1))
	h.Read(func(s *realm.State) {
		is.True(s.Upstreams["strange"] == nil)
		is.True(!s.Upstreams[registered.ID].Ended)
	})
	is.NoErr(h.AcceptConfig(ctx, time.Now(), route.Config{Version: 2, Services: []route.Service{{Name: "s", Keyed: true}, {Name: "other"}}}, []byte("2")))
	is.NoErr(h.Heartbeat(ctx, time.Now(), unknown, 2))
	h.Read(func(s *realm.State) { is.True(s.Upstreams["strange"] != nil) })
}

// Heartbeats of an earlier instance, and those that arrive after a later heartbeat, change nothing.
func TestLateHeartbeats(t *testing.T) {
	is := is.New(t)
	h := startHost(t, 4, newFakeUpstreams())
	ctx := context.Background()
	phase := func() (realm.Phase, int64) {
		var u realm.Upstream
		h.Read(func(s *realm.State) { u = *s.Upstreams["u"] })
		return u.Phase, u.StartMillis
	}
	send := func(start, sequence int64, phase realm.Phase) {
		t.Helper()
		is.NoErr(h.Heartbeat(ctx, time.Now(), realm.Upstream{
			Instance: realm.Instance{ID: "u", StartMillis: start}, Service: "s", Address: loopback(9, 29300), Concurrency: 2, Phase: phase,
		}, sequence))
	}
	send(10, 1, realm.Ready)
	send(20, 1, realm.Ready)
	send(10, 9, realm.Draining)
	got, start := phase()
	is.Equal(got, realm.Ready)
	is.Equal(start, int64(20))
	send(20, 5, realm.Draining)
	send(20, 4, realm.Ready)
	got, _ = phase()
	is.Equal(got, realm.Draining)
}

// A new leader, which has no connections to the owners of keys yet, renews their fencing tokens in one entry of the log,
// however many owners there are.
func TestNewLeaderFencesAllOwnersAtOnce(t *testing.T) {
	is := is.New(t)
	const owners = 20
	upstreams, folder := newFakeUpstreams(), t.TempDir()
	var ids []byte
	for id := range owners {
		ids = append(ids, byte(id+1))
	}
	h, stop := startHostIn(t, 19, folder, func() UpstreamClient { return upstreams }, clock.New())
	is.NoErr(h.AcceptConfig(t.Context(), time.Now(), route.Config{Version: 1, Services: []route.Service{{Name: "s", Keyed: true}}}, []byte("1")))
	sendHeartbeats(t, h, ids...)
	waitFor(t, "active keys of all upstreams", func() (all bool) {
		h.Read(func(s *realm.State) {
			all = s.Ownership["s"] != nil && !slices.ContainsFunc(s.Ownership["s"].Ranges, func(r realm.Range) bool { return !r.Active })
		})
		return all && len(h.owners()) == owners
	})
	stop()
	successors := newFakeUpstreams()
	h, stop = startHostIn(t, 19, folder, func() UpstreamClient { return successors }, clock.New())
	defer stop()
	before := h.Status(time.Now()).Commit
	sendHeartbeats(t, h, ids...)
	waitFor(t, "grants to all owners", func() bool {
		successors.mu.Lock()
		defer successors.mu.Unlock()
		return len(successors.tokens) == owners
	})
	is.True(h.Status(time.Now()).Commit-before < owners/2)
	is.NoErr(successors.violation)
}

// A leader whose lease lapses and resumes under the same ballot keeps its connections and the tokens of the owners.
func TestLapsedLeaseIsNotANewTenure(t *testing.T) {
	is := is.New(t)
	var suspended, clients atomic.Int64
	upstreams := newFakeUpstreams()
	newClient := func() UpstreamClient {
		clients.Add(1)
		return upstreams
	}
	suspends := clock.NewWith(func() (time.Duration, error) { return time.Duration(suspended.Load()), nil })
	h, stop := startHostIn(t, 20, t.TempDir(), newClient, suspends)
	defer stop()
	is.NoErr(h.AcceptConfig(t.Context(), time.Now(), route.Config{Version: 1, Services: []route.Service{{Name: "s", Keyed: true}}}, []byte("1")))
	sendHeartbeats(t, h, 1, 2)
	owned := func() bool {
		return upstreams.ownedKeys(loopback(1, 29300))+upstreams.ownedKeys(loopback(2, 29300)) == realm.AllKeys.Size()
	}
	waitFor(t, "owners", owned)
	before, _ := h.leads(time.Now())
	for range 3 {
		suspended.Add(int64(time.Minute))
		waitFor(t, "the lapse", func() bool { _, leads := h.leads(time.Now()); return !leads })
		time.Sleep(2 * planInterval)
		waitFor(t, "the lease", func() bool { _, leads := h.leads(time.Now()); return leads })
		time.Sleep(2 * planInterval)
	}
	after, _ := h.leads(time.Now())
	is.Equal(after.Ballot, before.Ballot)
	is.Equal(clients.Load(), int64(1))
	is.NoErr(upstreams.violation)
}

// An upstream that has told an entry host that it is leaving drains for all: its keys move, and all entry hosts learn of
// it. A report about another instance, or about an upstream that is not registered, changes nothing.
func TestLeaversOfEntryHostsDrain(t *testing.T) {
	is := is.New(t)
	u := newFakeUpstreams()
	h := startHost(t, 8, u)
	ctx := context.Background()
	is.NoErr(h.AcceptConfig(ctx, time.Now(), route.Config{Version: 1, Services: []route.Service{{Name: "s", Keyed: true}}}, []byte("1")))
	sendHeartbeats(t, h, 40, 41)
	waitFor(t, "keys granted", func() bool { return u.ownedKeys(loopback(40, 29300)) > 0 && u.ownedKeys(loopback(41, 29300)) > 0 })
	before := h.Status(time.Now()).Commit
	other := upstreamOf(40).Instance
	other.StartMillis++
	_, err := h.handleLeavers(ctx, "front-1", LeaversReport{Instances: []realm.Instance{other, {ID: "nobody"}}})
	is.NoErr(err)
	h.Read(func(s *realm.State) { is.Equal(s.Upstreams[upstreamOf(40).ID].Phase, realm.Ready) })
	for range 3 { // several hosts report the same
		_, err = h.handleLeavers(ctx, "front-1", LeaversReport{Instances: []realm.Instance{upstreamOf(40).Instance}})
		is.NoErr(err)
	}
	h.Read(func(s *realm.State) { is.Equal(s.Upstreams[upstreamOf(40).ID].Phase, realm.Draining) })
	waitFor(t, "all keys at the other upstream", func() bool {
		return u.ownedKeys(loopback(40, 29300)) == 0 && u.ownedKeys(loopback(41, 29300)) == realm.AllKeys.Size()
	})
	is.True(h.Status(time.Now()).Commit > before)
	u.mu.Lock()
	defer u.mu.Unlock()
	is.NoErr(u.violation)
}

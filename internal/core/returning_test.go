package core

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/clock"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
)

// hold is what an upstream holds of one key.
type hold struct {
	owner netip.AddrPort
	token uint64
	until time.Time
}

// holdingUpstreams records until when each key is held, and the first grant that gives a key a second owner or a token
// that is not above those of other owners.
type holdingUpstreams struct {
	mu        sync.Mutex
	holds     [1 << 16]hold
	violation error
}

func (u *holdingUpstreams) Grant(_ context.Context, target calls.Target, grant calls.Grant) error {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	for key := int(grant.From); key <= int(grant.To); key++ {
		h := &u.holds[key]
		if h.owner != target.Address && u.violation == nil {
			switch {
			case now.Before(h.until):
				u.violation = fmt.Errorf("key %d is granted to %v, and %v holds it for %v more", key, target.Address, h.owner, h.until.Sub(now))
			case grant.FencingToken <= h.token:
				u.violation = fmt.Errorf("key %d is granted to %v with token %d, and %v had it with %d", key, target.Address, grant.FencingToken, h.owner, h.token)
			}
		}
		*h = hold{owner: target.Address, token: grant.FencingToken, until: now.Add(grant.TTL)}
	}
	return nil
}

func (u *holdingUpstreams) Release(_ context.Context, target calls.Target, keys realm.KeyRange, _ uint64) (string, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for key := int(keys.From); key <= int(keys.To); key++ {
		if u.holds[key].owner == target.Address {
			u.holds[key].until = time.Time{}
		}
	}
	return "handover", nil
}

// held returns how many keys are held now, and until when the last hold lasts.
func (u *holdingUpstreams) held(now time.Time) (keys int, until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, h := range u.holds {
		if now.Before(h.until) {
			keys++
		}
		if h.until.After(until) {
			until = h.until
		}
	}
	return keys, until
}

func (u *holdingUpstreams) violated() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.violation
}

// Guards against keys with two owners after a service has left the configuration, or is no longer divided by key, and
// returns while its earlier grants are still in force.
func TestServiceThatReturnsHasOneOwner(t *testing.T) {
	keyed, plain := []route.Service{{Name: "s", Keyed: true}}, []route.Service{{Name: "s"}}
	for i, c := range []struct {
		name      string
		between   []route.Service // of the configuration between the two that divide the service by key
		away      time.Duration
		isRestart bool // the leader changes while the service is away
		isExpired bool // the grants run out while the service is away
	}{
		{name: "without the service", away: 300 * time.Millisecond},
		{name: "at once", away: 0},
		{name: "not divided by key", between: plain, away: 300 * time.Millisecond},
		{name: "with another leader", isRestart: true},
		{name: "after its grants", isExpired: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			u := &holdingUpstreams{}
			last, folder := byte(100+i), t.TempDir()
			newClient := func() UpstreamClient { return u }
			h, stop := startHostIn(t, last, folder, newClient, clock.New())
			defer func() { stop() }()
			ctx := context.Background()
			version := uint64(0)
			accept := func(services []route.Service) {
				version++
				is.NoErr(h.AcceptConfig(ctx, time.Now(), route.Config{Version: version, Services: services}, []byte(fmt.Sprint(version))))
			}
			awaitAllHeld := func() {
				waitFor(t, "all keys held", func() bool {
					keys, _ := u.held(time.Now())
					return keys == realm.AllKeys.Size()
				})
			}
			accept(keyed)
			beat := func() (end func()) {
				beatCtx, cancel := context.WithCancel(ctx)
				var done sync.WaitGroup
				for id := range byte(4) {
					done.Go(func() {
						for sequence := int64(1); beatCtx.Err() == nil; sequence++ {
							_ = h.Heartbeat(beatCtx, time.Now(), upstreamOf(id), sequence) // the next one follows soon
							time.Sleep(50 * time.Millisecond)
						}
					})
				}
				return func() {
					cancel()
					done.Wait()
				}
			}
			endBeats := beat()
			defer func() { endBeats() }()
			awaitAllHeld()
			// With another load than at the first assignment, keys without owners would be divided in another way.
			report := func() {
				_, err := h.handleReport(ctx, "front-1", Report{Loads: map[string]map[int]int{"s": {3: 500, 4: 300, 200: 100}}})
				is.NoErr(err)
			}
			report()
			accept(c.between)
			switch {
			case c.isRestart:
				endBeats()
				stop()
				h, stop = startHostIn(t, last, folder, newClient, clock.New())
				endBeats = beat()
				report()
			case c.isExpired:
				waitFor(t, "the end of all grants", func() bool {
					keys, _ := u.held(time.Now())
					return keys == 0
				})
			default:
				time.Sleep(c.away)
			}
			accept(keyed)
			_, before := u.held(time.Now())
			waitFor(t, "renewed grants", func() bool {
				_, until := u.held(time.Now())
				return until.After(before) || u.violated() != nil
			})
			awaitAllHeld()
			is.NoErr(u.violated())
		})
	}
}

// acceptAt makes control hosts accept a configuration, each in turn until one has.
func acceptAt(t *testing.T, hosts []*Host, config route.Config) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		for _, h := range hosts {
			if h.AcceptConfig(ctx, time.Now(), config, []byte(fmt.Sprint(config.Version))) == nil {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("configuration %d was not accepted", config.Version)
}

// Guards against keys with two owners when a service leaves the configuration and returns just after all control hosts
// have restarted, while one of them is not back yet.
func TestServiceThatReturnsAmidARestartHasOneOwner(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	u := &holdingUpstreams{}
	const last = 110
	folders := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	zones := []string{"a", "b", "c"}
	startAll := func(count int) (hosts []*Host, stop func()) {
		var stops []func()
		for i := range count {
			h, stop := startMember(t, last, i, zones[i], folders[i], u)
			hosts, stops = append(hosts, h), append(stops, stop)
		}
		return hosts, func() {
			for _, stop := range stops {
				stop()
			}
		}
	}
	beat := func(h *Host) (end func()) {
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		for id := range byte(4) {
			done.Go(func() {
				for sequence := int64(1); ctx.Err() == nil; sequence++ {
					_ = h.Heartbeat(ctx, time.Now(), upstreamOf(id), sequence) // the next one follows soon
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		return func() {
			cancel()
			done.Wait()
		}
	}
	keyed := []route.Service{{Name: "s", Keyed: true}}
	hosts, stop := startAll(3)
	acceptAt(t, hosts, route.Config{Version: 1, Services: keyed})
	endBeats := beat(hosts[0])
	waitFor(t, "all keys held", func() bool {
		keys, _ := u.held(time.Now())
		return keys == realm.AllKeys.Size()
	})
	time.Sleep(2 * zoneRequestInterval) // the members have told each other what they understand
	endBeats()
	stop()

	hosts, stop = startAll(2)
	defer stop()
	defer beat(hosts[0])()
	// With another load than at the first assignment, keys without owners would be divided in another way.
	waitFor(t, "a report that the leader has", func() bool {
		return slices.ContainsFunc(hosts, func(h *Host) bool {
			reply, err := h.handleReport(context.Background(), "front-1", Report{Loads: map[string]map[int]int{"s": {3: 500, 4: 300, 200: 100}}})
			return err == nil && reply.OK
		})
	})
	acceptAt(t, hosts, route.Config{Version: 2})
	_, before := u.held(time.Now())
	acceptAt(t, hosts, route.Config{Version: 3, Services: keyed})
	waitFor(t, "renewed grants", func() bool {
		_, until := u.held(time.Now())
		return until.After(before) || u.violated() != nil
	})
	waitFor(t, "all keys held", func() bool {
		keys, _ := u.held(time.Now())
		return keys == realm.AllKeys.Size()
	})
	is.NoErr(u.violated())
}

// Guards against keys with two owners while a member of the log may run a release that forgets the owners of a service as
// it leaves the configuration: such a configuration is not accepted, and any other is.
func TestServiceStaysUntilAllMembersKeepOwners(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var hosts []*Host
	for i, zone := range []string{"a", "b", "c"} {
		h := newMember(t, 114, i, zone, t.TempDir(), newFakeUpstreams())
		if i > 0 { // a host of an earlier release
			peer.HandleTyped(h.endpoint, string(keptOwners), func(context.Context, string, struct{}) (bool, error) { return false, nil })
		}
		t.Cleanup(runMember(t, h))
		hosts = append(hosts, h)
	}
	keyed := route.Service{Name: "s", Keyed: true}
	acceptAt(t, hosts, route.Config{Version: 1, Services: []route.Service{keyed}})
	for end := time.Now().Add(2 * zoneRequestInterval); time.Now().Before(end); {
		for _, h := range hosts {
			is.True(h.AcceptConfig(context.Background(), time.Now(), route.Config{Version: 2}, []byte("2")) != nil)
			is.True(h.AcceptConfig(context.Background(), time.Now(), route.Config{Version: 2, Services: []route.Service{{Name: "s"}}}, []byte("2")) != nil)
		}
	}
	acceptAt(t, hosts, route.Config{Version: 3, Services: []route.Service{keyed, {Name: "other"}}})
}

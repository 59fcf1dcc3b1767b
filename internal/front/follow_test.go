package front

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/clock"
	"lovagelink.example/lovagelink/internal/core"
	"lovagelink.example/lovagelink/internal/memnet"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
	"lovagelink.example/lovagelink/internal/site"
)

// configApplyTime is the time in which an acknowledged configuration must be in force.
const configApplyTime = 2 * time.Second

// manyRoutes returns a configuration with some distinct routes, as an operator's generator names them.
func manyRoutes(version uint64, routes int) route.Config {
	config := route.Config{Version: version, Services: []route.Service{{Name: "plan"}}}
	for i := range routes {
		random := uint64(i+1) * 0x9e3779b97f4a7c15
		config.Routes = append(config.Routes, route.Route{
			Name: fmt.Sprintf("r-%07x", random>>36), Host: "loti73.example", Prefix: fmt.Sprintf("/%x/%x/", random>>32, random&0xffff),
			Timeout: 1500 * time.Millisecond, LatencyTarget: 600 * time.Millisecond, Rank: 1, Attempts: 2,
			Destinations: []route.Destination{{Service: "plan", Weight: 1}},
		})
	}
	return config
}

// followed is an entry host that follows the only control host of a deployment over a link of a given rate.
type followed struct {
	t       *testing.T
	network *memnet.Net
	control *core.Host
	front   *Front
}

func follow(t *testing.T, linkBytesPerSecond int) *followed {
	t.Helper()
	network := memnet.New(func(_, _ memnet.Place) time.Duration { return time.Millisecond })
	network.SetRate(func(to memnet.Place) int {
		if to.Name == "front" {
			return linkBytesPerSecond
		}
		return 0
	})
	seed := netip.MustParseAddrPort("127.0.0.1:29300")
	settings := site.Host{
		Name: "core", IP: seed.Addr(), Internal: 29301, Seeds: []netip.AddrPort{seed}, Bootstrap: true, DataFolder: t.TempDir(), Control: seed,
		Bounds: site.Bounds{MaxGrantTTL: 10 * time.Second, HeartbeatInterval: time.Second},
	}
	name := settings.PeerName(seed)
	endpoint := peer.NewDynamic(network.At("a", "core"), name, settings.PeerAddress(seed))
	control, err := core.New(time.Now(), settings, endpoint, func() core.UpstreamClient { return nil }, clock.New(), log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	if err := endpoint.Start(); err != nil {
		t.Fatal(err)
	}
	control.Start()
	frontEndpoint := peer.NewDynamic(network.At("a", "front"), "front", netip.AddrPort{})
	frontEndpoint.SetPingDelay(FollowTime)
	if err := frontEndpoint.Start(); err != nil {
		t.Fatal(err)
	}
	f := New(site.Host{Name: "front", Internal: 29301, Seeds: []netip.AddrPort{seed}}, frontEndpoint, nil, log.NewNopLogger())
	f.tomb.Go(func() error { // so that Wait returns although the test has ended before start
		<-f.tomb.Dying()
		return nil
	})
	t.Cleanup(func() {
		f.tomb.Kill(nil)
		_ = f.tomb.Wait()
		frontEndpoint.Stop()
		control.Stop()
		endpoint.Stop()
	})
	for !control.Status(time.Now()).Leading {
		time.Sleep(10 * time.Millisecond)
	}
	return &followed{t: t, network: network, control: control, front: f}
}

func (d *followed) start() { d.front.tomb.Go(d.front.follow) }

func (d *followed) accept(config route.Config) {
	d.t.Helper()
	if err := d.control.AcceptConfig(context.Background(), time.Now(), config, []byte("body")); err != nil {
		d.t.Fatal(err)
	}
}

// timeUntilInForce waits until the entry host routes by a version and returns how long that took, at most limit.
func (d *followed) timeUntilInForce(version uint64, limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		if table := d.front.view.Load().Table; table != nil && table.Config.Version >= version {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// Configurations with many routes, which follow each other faster than a slow link carries them whole, are in force in
// time at a host whose callers leave it a fraction of its link.
func TestManyRoutesAreInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := follow(t, 60_000)
		d.start()
		d.accept(manyRoutes(1, 8))
		is.True(d.timeUntilInForce(1, configApplyTime) < configApplyTime)
		d.accept(manyRoutes(2, 1400))
		is.True(d.timeUntilInForce(2, configApplyTime) < configApplyTime)
		for i := range 25 {
			config := manyRoutes(uint64(3+i), 1400)
			config.Routes[i].Timeout += time.Second
			d.accept(config)
			time.Sleep(60 * time.Millisecond)
		}
		is.True(d.timeUntilInForce(27, configApplyTime) < configApplyTime)
		is.Equal(len(d.front.view.Load().Table.Config.Routes), 1400)
	})
}

// A host that starts while the whole state takes longer to arrive than a follow call may be silent gets it on the first
// attempt.
func TestFirstUpdateArrivesOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := follow(t, 4_000)
		d.accept(manyRoutes(1, 1400))
		for i := range 300 {
			d.register(i)
		}
		d.start()
		is.True(d.timeUntilInForce(1, 15*time.Second) < 15*time.Second)
	})
}

func (d *followed) register(i int) {
	d.t.Helper()
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 8568)
	err := d.control.Heartbeat(context.Background(), time.Now(), realm.Upstream{
		Instance: realm.Instance{ID: fmt.Sprintf("i-%010x", uint64(i+1)*0x9e3779b97f4a7c15>>24), StartMillis: 1780842957000 + int64(i)},
		Service:  "plan", Address: address, Zone: "a", Concurrency: 2,
	}, 1)
	if err != nil {
		d.t.Fatal(err)
	}
}

package fleet

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"lovagelink.example/lovagelink/examples"
	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/memnet"
	"lovagelink.example/lovagelink/internal/naive"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/upsim"
	"lovagelink.example/lovagelink/pkg/walog"
)

// One-way delays.
const (
	nearDelay = 100 * time.Microsecond // within a zone
	zoneDelay = 1500 * time.Microsecond
)

// delays is how far callers and zones are apart.
type delays struct {
	zones, callers time.Duration
}

// delays of the two users; those of Gauteng's callers count as those between its zones.
var (
	gautengDelays  = delays{zones: zoneDelay, callers: zoneDelay}
	kingstonDelays = delays{zones: time.Millisecond, callers: 10 * time.Millisecond}
)

// of returns the one-way delay between two places.
func (d delays) of(from, to memnet.Place) time.Duration {
	switch {
	case from.Zone == to.Zone:
		return nearDelay
	case from.Zone == "callers" || to.Zone == "callers":
		return d.callers
	}
	return d.zones
}

// scene is a fleet on a network in memory, under load.
type scene struct {
	*Fleet
	t       *testing.T
	net     *memnet.Net
	result  *load.Result
	done    chan struct{}
	began   time.Time
	victims map[int]bool    // hosts that were killed
	routers []*naive.Router // in place of the hosts
	closed  chan struct{}
}

// setup is how a scene begins.
type setup struct {
	config   string
	hosts    int
	groups   []Group
	checks   bool
	zones    []string // a, b and c if not given
	replicas int
	delays   delays // Gauteng's if not given
}

// network returns a network with the delays of a setup.
func (s setup) network() *memnet.Net {
	if s.delays == (delays{}) {
		return memnet.New(gautengDelays.of)
	}
	return memnet.New(s.delays.of)
}

func gautengSetup() setup {
	return setup{config: examples.Gauteng, hosts: 10, groups: Gauteng(), checks: true}
}

func open(t *testing.T, s setup) *scene {
	t.Helper()
	network := s.network()
	f, err := Build(time.Now(), planOf(t, s, network))
	if err != nil {
		t.Fatal(err)
	}
	sc := &scene{
		Fleet: f, t: t, net: network, done: make(chan struct{}), closed: make(chan struct{}), victims: make(map[int]bool),
	}
	go sc.watchGrants(s.groups)
	t.Cleanup(func() {
		close(sc.closed)
		f.Stop()
		time.Sleep(time.Second) // for tasks of the libraries to end
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := f.Start(ctx, s.config); err != nil {
		t.Fatal(err)
	}
	return sc
}

func planOf(t *testing.T, s setup, network *memnet.Net) Plan {
	zones := s.zones
	if zones == nil {
		zones = []string{"a", "b", "c"}
	}
	return Plan{
		Zones: zones, Replicas: s.replicas, Hosts: s.hosts, Groups: s.groups, Folder: t.TempDir(), VerifiesGrants: s.checks, Disk: []walog.Option{walog.WithoutSync()},
		NextAddress: network.NextAddress,
		Network:     func(zone, owner string) peer.Network { return network.At(zone, owner) },
		Logger:      log.NewNopLogger(),
	}
}

// watchGrants looks again and again whether a slot is granted to two upstreams at a time.
func (sc *scene) watchGrants(groups []Group) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-sc.closed:
			return
		case now := <-ticker.C:
			sc.checkGrants(now, groups)
		}
	}
}

func (sc *scene) checkGrants(now time.Time, groups []Group) {
	first := 0
	for _, group := range groups {
		owners := make(map[int]string)
		for i := first; i < first+group.Count && group.Keyed; i++ {
			for _, slot := range sc.Upstreams[i].GrantedSlots(now) {
				if other, ok := owners[slot]; ok {
					sc.t.Errorf("slot %d of %s is granted to %s and %s", slot, group.Service, other, sc.IDs[i])
				}
				owners[slot] = sc.IDs[i]
			}
		}
		first += group.Count
	}
}

// load begins to send requests from callers in all zones.
func (sc *scene) load(shape load.Workload, rate float64, period time.Duration) {
	sc.loadAt(sc.Entries(), shape, rate, period)
}

// loadAt begins to send requests to some entry hosts.
func (sc *scene) loadAt(entries []netip.AddrPort, shape load.Workload, rate float64, period time.Duration) {
	runner := load.New(load.Settings{
		Workload: shape, Rate: rate, Period: period, Entries: entries, Seed: 1,
	}, sc.net.At("callers", "caller"))
	sc.began = time.Now()
	go func() {
		sc.result = runner.Run(context.Background())
		close(sc.done)
	}()
}

// judge waits for the load to end and checks every promise.
func (sc *scene) judge() *load.Result {
	sc.t.Helper()
	<-sc.done
	verdict := sc.result.Verify(sc.Ledger.Runs())
	for _, tally := range sc.result.Tallies {
		sc.t.Logf("%-12s sent %5d served %5d on target %5d refused %4d unknown %4d resent %4d p50 %v p99 %v",
			tally.Call.Name, tally.Sent, tally.Served, tally.OnTarget, tally.Refused, tally.Unknown, tally.Resent,
			tally.Percentile(50), tally.Percentile(99))
		if tally.Served+tally.Refused+tally.Unknown != tally.Sent {
			sc.t.Errorf("%s: fates do not add up", tally.Call.Name)
		}
	}
	for reason, count := range sc.result.Reasons {
		sc.t.Logf("%d %s", count, reason)
	}
	for _, one := range sc.result.Failures[:min(len(sc.result.Failures), 5)] {
		sc.t.Logf("%s %s due %v took %v: %s", one.Call, one.ID, one.Due.Sub(sc.began), one.Latency, one.Reason)
	}
	if !verdict.OK() {
		sc.t.Errorf("promises broken: %+v", verdict)
		sc.logDoubled()
	}
	return sc.result
}

// logDoubled lists where and when exclusive requests have run that ran more than once.
func (sc *scene) logDoubled() {
	runs := sc.Ledger.Runs()
	byID := upsim.Examine(runs).ByID
	for _, run := range runs {
		if run.NonIdempotent && byID[run.ID] > 1 {
			sc.t.Logf("%s of %s key %q ran on %s under epoch %d from %v to %v", run.ID, run.Service, run.Key,
				run.Upstream, run.Epoch, run.Began.Sub(sc.began), run.Ended.Sub(sc.began))
		}
	}
}

// in runs a scene in a bubble of exact time.
func in(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, test)
}

func TestSteady(t *testing.T) {
	in(t, func(t *testing.T) {
		sc := open(t, gautengSetup())
		sc.load(load.Gauteng(), 200, 5*time.Second)
		result := sc.judge()
		for _, tally := range result.Tallies {
			if tally.Served != tally.Sent {
				t.Errorf("%s: %d of %d served", tally.Call.Name, tally.Served, tally.Sent)
			}
		}
	})
}

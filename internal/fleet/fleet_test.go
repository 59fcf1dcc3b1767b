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

// One-way delays between two places.
const (
	sameZoneDelay  = 100 * time.Microsecond
	crossZoneDelay = 1500 * time.Microsecond
)

// delays holds the one-way delays between two zones, and between callers and zones.
type delays struct {
	zones, callers time.Duration
}

// Delays of the two deployments. Gauteng's callers are as far from a zone as the zones are from each other.
var (
	gautengDelays  = delays{zones: crossZoneDelay, callers: crossZoneDelay}
	kingstonDelays = delays{zones: time.Millisecond, callers: 10 * time.Millisecond}
)

// between returns the one-way delay between two places.
func (d delays) between(from, to memnet.Place) time.Duration {
	switch {
	case from.Zone == to.Zone:
		return sameZoneDelay
	case from.Zone == "callers" || to.Zone == "callers":
		return d.callers
	}
	return d.zones
}

// scenario is a fleet under load on an in-memory network.
type scenario struct {
	*Fleet
	t       *testing.T
	net     *memnet.Net
	result  *load.Result
	done    chan struct{} // closed when the load has ended
	started time.Time
	down    map[int]bool    // indexes of hosts that are killed, stopped or cut off
	routers []*naive.Router // replace the hosts if not nil
	closed  chan struct{}   // closed when the test ends; stops watchGrants
}

// setup describes the fleet of a scenario.
type setup struct {
	config         string
	hosts          int
	groups         []Group
	verifiesGrants bool
	zones          []string // nil means a, b and c
	replicas       int
	delays         delays // zero means Gauteng's
}

// newNetwork returns a network with the delays of a setup.
func (s setup) newNetwork() *memnet.Net {
	if s.delays == (delays{}) {
		return memnet.New(gautengDelays.between)
	}
	return memnet.New(s.delays.between)
}

func gautengSetup() setup {
	return setup{config: examples.Gauteng, hosts: 10, groups: Gauteng(), verifiesGrants: true}
}

func newScenario(t *testing.T, s setup) *scenario {
	t.Helper()
	network := s.newNetwork()
	f, err := Build(time.Now(), newPlan(t, s, network))
	if err != nil {
		t.Fatal(err)
	}
	sc := &scenario{
		Fleet: f, t: t, net: network, done: make(chan struct{}), closed: make(chan struct{}), down: make(map[int]bool),
	}
	go sc.watchGrants(s.groups)
	t.Cleanup(func() {
		close(sc.closed)
		f.Stop()
		time.Sleep(time.Second) // goroutines of the libraries end meanwhile
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := f.Start(ctx, s.config); err != nil {
		t.Fatal(err)
	}
	return sc
}

func newPlan(t *testing.T, s setup, network *memnet.Net) Plan {
	zones := s.zones
	if zones == nil {
		zones = []string{"a", "b", "c"}
	}
	return Plan{
		Zones: zones, Replicas: s.replicas, Hosts: s.hosts, Groups: s.groups, Folder: t.TempDir(),
		VerifiesGrants: s.verifiesGrants, Disk: []walog.Option{walog.WithoutSync()},
		NextAddress: network.NextAddress,
		Network:     func(zone, name string) peer.Network { return network.At(zone, name) },
		Logger:      log.NewNopLogger(),
	}
}

// watchGrants checks every 20 ms that no slot is granted to two upstreams at the same time.
func (sc *scenario) watchGrants(groups []Group) {
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

func (sc *scenario) checkGrants(now time.Time, groups []Group) {
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

// startLoad starts to send requests from callers to all entry hosts.
func (sc *scenario) startLoad(workload load.Workload, rate float64, period time.Duration) {
	sc.startLoadAt(sc.Entries(), workload, rate, period)
}

// startLoadAt starts to send requests from callers to some entry hosts.
func (sc *scenario) startLoadAt(entries []netip.AddrPort, workload load.Workload, rate float64, period time.Duration) {
	runner := load.New(load.Settings{
		Workload: workload, Rate: rate, Period: period, Entries: entries, Seed: 1,
	}, sc.net.At("callers", "caller"))
	sc.started = time.Now()
	go func() {
		sc.result = runner.Run(context.Background())
		close(sc.done)
	}()
}

// verify waits for the load to end and verifies every guarantee against the upstreams' ledger.
func (sc *scenario) verify() *load.Result {
	sc.t.Helper()
	<-sc.done
	verification := sc.result.Verify(sc.Ledger.Runs())
	for _, tally := range sc.result.Tallies {
		sc.t.Logf("%-12s sent %5d served %5d on target %5d refused %4d unknown %4d resent %4d p50 %v p99 %v",
			tally.Call.Name, tally.Sent, tally.Served, tally.OnTarget, tally.Refused, tally.Unknown, tally.Resent,
			tally.Percentile(50), tally.Percentile(99))
		if tally.Served+tally.Refused+tally.Unknown != tally.Sent {
			sc.t.Errorf("%s: served, refused and unknown do not add up to sent", tally.Call.Name)
		}
	}
	for reason, count := range sc.result.Reasons {
		sc.t.Logf("%d %s", count, reason)
	}
	for _, failed := range sc.result.Failures[:min(len(sc.result.Failures), 5)] {
		sc.t.Logf("%s %s due %v took %v: %s", failed.Call, failed.ID, failed.Due.Sub(sc.started), failed.Latency,
			failed.Reason)
	}
	if !verification.OK() {
		sc.t.Errorf("guarantees violated: %+v", verification)
		sc.logDoubleRuns()
	}
	return sc.result
}

// logDoubleRuns logs where and when non-idempotent requests ran that ran more than once.
func (sc *scenario) logDoubleRuns() {
	runs := sc.Ledger.Runs()
	byID := upsim.Examine(runs).ByID
	for _, run := range runs {
		if run.NonIdempotent && byID[run.ID] > 1 {
			sc.t.Logf("%s of %s key %q ran on %s under epoch %d from %v to %v", run.ID, run.Service, run.Key,
				run.Upstream, run.Epoch, run.Began.Sub(sc.started), run.Ended.Sub(sc.started))
		}
	}
}

// inBubble runs a test in a synctest bubble, whose clock is virtual.
func inBubble(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, test)
}

func TestSteady(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sc := newScenario(t, gautengSetup())
		sc.startLoad(load.Gauteng(), 200, 5*time.Second)
		result := sc.verify()
		for _, tally := range result.Tallies {
			if tally.Served != tally.Sent {
				t.Errorf("%s: %d of %d served", tally.Call.Name, tally.Served, tally.Sent)
			}
		}
	})
}

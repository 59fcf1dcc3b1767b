package fleet

import (
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/conf"
	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/naive"
)

// newNaiveScenario starts the fleet of a setup with naive routers in place of the entry hosts. Upstreams announce
// themselves to all routers.
func newNaiveScenario(t *testing.T, s setup) *scenario {
	t.Helper()
	network := s.newNetwork()
	plan := newPlan(t, s, network)
	plan.Naive = true
	f, err := Build(time.Now(), plan)
	if err != nil {
		t.Fatal(err)
	}
	config, err := conf.ParseConfig([]byte(s.config))
	if err != nil {
		t.Fatal(err)
	}
	sc := &scenario{Fleet: f, t: t, net: network, done: make(chan struct{})}
	for _, settings := range f.Settings {
		iface := network.At(settings.Zone, settings.Name)
		router := naive.New(config, iface)
		if err := router.Start(iface, settings.Callers, settings.Upstreams); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(router.Stop)
		sc.routers = append(sc.routers, router)
	}
	t.Cleanup(func() {
		for _, upstream := range f.Upstreams {
			upstream.Kill()
		}
		time.Sleep(3 * time.Minute) // requests in the queues of upstreams end meanwhile
	})
	for _, upstream := range f.Upstreams {
		if err := upstream.Start(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(2 * time.Second)
	return sc
}

// stopEntry kills an entry host, or stops the naive router in its place.
func (sc *scenario) stopEntry(i int) {
	if sc.routers != nil {
		sc.routers[i].Stop()
		return
	}
	sc.kill(i)
}

// naiveRate keeps enough requests in flight for a violation to show, in requests per second.
const naiveRate = 400

// Guards against scenarios that could not show a violation: the naive router must violate a guarantee in each of them.
func TestNaiveBreaksPromises(t *testing.T) {
	violations := map[string]func(load.Verification) bool{
		"upstream-frozen":    func(v load.Verification) bool { return v.Doubled > 0 },
		"zone-cut":           func(v load.Verification) bool { return v.TwoOwners > 0 },
		"all-zones-cut":      func(v load.Verification) bool { return v.TwoOwners > 0 },
		"connections-silent": func(v load.Verification) bool { return v.Doubled > 0 || v.FalseNotRun > 0 || v.TwoOwners > 0 },
	}
	for _, f := range failures() {
		isViolated, ok := violations[f.name]
		if !ok {
			continue
		}
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				s := gautengSetup()
				s.verifiesGrants = false
				sc := newNaiveScenario(t, s)
				f.runUnderLoad(sc, load.Gauteng(), naiveRate, 15*time.Second)
				<-sc.done
				verification := sc.result.Verify(sc.Ledger.Runs())
				t.Logf("%+v", verification)
				if !isViolated(verification) {
					t.Error("the scenario shows no violation by the naive router")
				}
			})
		})
	}
}

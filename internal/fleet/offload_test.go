package fleet

import (
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/memnet"
	"lovagelink.example/lovagelink/internal/upsim"
)

// confirmationRate is the load of the tests without keys, in confirmations per second; five healthy upstreams
// have a capacity of 500.
const confirmationRate = 80

// confirmations returns the part of Gauteng's workload that is for the service without keys.
func confirmations() load.Workload {
	workload := load.Gauteng()
	workload.Calls = workload.Calls[:1]
	return workload
}

// The dispatcher of a slow upstream of a service without keys must offload the requests that the upstream can't
// run on target to other upstreams, each request once, as long as the others have capacity.
func TestSlowUpstreamOffloads(t *testing.T) {
	for _, tc := range []struct {
		name           string
		verifiesGrants bool
		inject         func(sc *scenario)
		minShare       float64 // minimum share of the worth that must be served on target
	}{
		{"one-late-checking", true, func(sc *scenario) { slowDown(sc, "commission-03") }, 0.95},
		{"one-late-trusting", false, func(sc *scenario) { slowDown(sc, "commission-03") }, 0.95},
		{"two-late", true, func(sc *scenario) { slowDown(sc, "commission-02", "commission-03") }, 0.9},
		{"one-late-one-lost", true, func(sc *scenario) {
			slowDown(sc, "commission-03")
			time.Sleep(2 * time.Second)
			sc.kill(sc.hostNamed("b2"))
		}, 0.85},
		{"dispatcher-lost", true, func(sc *scenario) {
			slowDown(sc, "commission-03")
			time.Sleep(3 * time.Second)
			sc.kill(sc.dispatcherOf("commission-03"))
		}, 0.8},
		{"target-lost-trusting", false, func(sc *scenario) {
			slowDown(sc, "commission-03")
			time.Sleep(3 * time.Second)
			sc.kill(sc.dispatcherOf("commission-01"))
			sc.kill(sc.dispatcherOf("commission-02"))
		}, 0.7},
		{"target-frozen-trusting", false, func(sc *scenario) {
			slowDown(sc, "commission-03")
			time.Sleep(3 * time.Second)
			sc.Upstream("commission-01").SetFrozen(true)
			time.Sleep(3 * time.Second)
			sc.Upstream("commission-01").SetFrozen(false)
		}, 0.7},
		{"connections-silent", true, func(sc *scenario) {
			slowDown(sc, "commission-03")
			time.Sleep(3 * time.Second)
			sc.net.Blackhole(func(from, to memnet.Place) bool { return from.Zone != "callers" && to.Zone != "callers" })
		}, 0.7},
		{"dispatchers-zone-cut", false, func(sc *scenario) {
			slowDown(sc, "commission-03")
			time.Sleep(3 * time.Second)
			sc.net.Partition(isolated("c"))
			time.Sleep(3 * time.Second)
			sc.net.Heal()
		}, 0.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				s := gautengSetup()
				s.verifiesGrants = tc.verifiesGrants
				sc := newScenario(t, s)
				sc.startLoad(confirmations(), confirmationRate, 10*time.Second)
				time.Sleep(time.Second)
				tc.inject(sc)
				served, requested := sc.verify().Worth()
				t.Logf("worth served on target %.3f", served/requested)
				if served/requested < tc.minShare {
					t.Errorf("worth served on target %.3f, want at least %.2f", served/requested, tc.minShare)
				}
			})
		})
	}
}

// dispatcherOf returns the index of the host that dispatches for an upstream.
func (sc *scenario) dispatcherOf(upstream string) int {
	for i, host := range sc.Hosts {
		if !sc.down[i] {
			return sc.hostNamed(host.Status(time.Now()).Upstreams[upstream].Dispatcher)
		}
	}
	sc.t.Fatal("no host is up")
	return -1
}

// slowDown delays the responses of upstreams by 500 ms.
func slowDown(sc *scenario, upstreams ...string) {
	for _, id := range upstreams {
		sc.Upstream(id).SetFaults(upsim.Faults{Late: 500 * time.Millisecond})
	}
}

// Guards against an upstream that stays unused after it was slow for a while: all requests have one rank, so that
// no request of another rank shows that the upstream has recovered.
func TestRecoveredUpstreamIsUsed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := smallSetup()
		s.groups[0].Count = 1
		sc := newScenario(t, s)
		sc.startLoad(onlyCall(load.Gauteng(), "layout"), 20, 20*time.Second)
		time.Sleep(time.Second)
		slowDown(sc, "plan-01")
		time.Sleep(6 * time.Second)
		sc.Upstream("plan-01").SetFaults(upsim.Faults{})
		recovered := time.Now()
		unserved := 0
		for _, failed := range sc.verify().Failures {
			if failed.Due.After(recovered.Add(recoveryTarget)) {
				unserved++
			}
		}
		if unserved > 0 {
			t.Errorf("%d requests due more than %v after the upstream recovered were not served", unserved, recoveryTarget)
		}
	})
}

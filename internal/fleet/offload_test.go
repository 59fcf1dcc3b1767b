package fleet

import (
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/memnet"
	"lovagelink.example/lovagelink/internal/upsim"
)

// The rate of the scenes without keys, in confirmations a second; five upstreams do 500 in calm.
const confirmRate = 80

// confirmations is the work of the Hanging Office that goes to the service without keys.
func confirmations() load.Workload {
	shape := load.Gauteng()
	shape.Calls = shape.Calls[:1]
	return shape
}

// An upstream of a service without keys that is slow offloads its work to others: what it can't do on target
// is done elsewhere, once, as long as the others can do it.
func TestSlowUpstreamOffloads(t *testing.T) {
	for _, one := range []struct {
		name   string
		checks bool
		strike func(sc *scene)
		share  float64 // of the worth that must be served on target
	}{
		{"one-late-checking", true, func(sc *scene) { late(sc, "commission-03") }, 0.95},
		{"one-late-trusting", false, func(sc *scene) { late(sc, "commission-03") }, 0.95},
		{"two-late", true, func(sc *scene) { late(sc, "commission-02", "commission-03") }, 0.9},
		{"one-late-one-lost", true, func(sc *scene) {
			late(sc, "commission-03")
			time.Sleep(2 * time.Second)
			sc.kill(sc.hostNamed("b2"))
		}, 0.85},
		{"dispatcher-lost", true, func(sc *scene) {
			late(sc, "commission-03")
			time.Sleep(3 * time.Second)
			sc.kill(sc.dispatcherOf("commission-03"))
		}, 0.8},
		{"target-lost-trusting", false, func(sc *scene) {
			late(sc, "commission-03")
			time.Sleep(3 * time.Second)
			sc.kill(sc.dispatcherOf("commission-01"))
			sc.kill(sc.dispatcherOf("commission-02"))
		}, 0.7},
		{"target-frozen-trusting", false, func(sc *scene) {
			late(sc, "commission-03")
			time.Sleep(3 * time.Second)
			sc.Upstream("commission-01").SetFrozen(true)
			time.Sleep(3 * time.Second)
			sc.Upstream("commission-01").SetFrozen(false)
		}, 0.7},
		{"connections-silent", true, func(sc *scene) {
			late(sc, "commission-03")
			time.Sleep(3 * time.Second)
			sc.net.Blackhole(func(from, to memnet.Place) bool { return from.Zone != "callers" && to.Zone != "callers" })
		}, 0.7},
		{"dispatchers-zone-cut", false, func(sc *scene) {
			late(sc, "commission-03")
			time.Sleep(3 * time.Second)
			sc.net.Partition(isolated("c"))
			time.Sleep(3 * time.Second)
			sc.net.Heal()
		}, 0.5},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			in(t, func(t *testing.T) {
				s := gautengSetup()
				s.checks = one.checks
				sc := open(t, s)
				sc.load(confirmations(), confirmRate, 10*time.Second)
				time.Sleep(time.Second)
				one.strike(sc)
				served, asked := sc.judge().Worth()
				t.Logf("worth served on target %.3f", served/asked)
				if served/asked < one.share {
					t.Errorf("worth served on target %.3f of at least %.2f", served/asked, one.share)
				}
			})
		})
	}
}

// dispatcherOf returns the host that dispatches for an upstream.
func (sc *scene) dispatcherOf(upstream string) int {
	for i, host := range sc.Hosts {
		if !sc.victims[i] {
			return sc.hostNamed(host.Status(time.Now()).Upstreams[upstream].Dispatcher)
		}
	}
	sc.t.Fatal("no host is up")
	return -1
}

func late(sc *scene, upstreams ...string) {
	for _, id := range upstreams {
		sc.Upstream(id).SetFaults(upsim.Faults{Late: 500 * time.Millisecond})
	}
}

// An upstream that was slow for a while is used again once it is fast, also where its rank is the only one
// and nothing else would show that it has recovered.
func TestRecoveredUpstreamIsUsed(t *testing.T) {
	in(t, func(t *testing.T) {
		s := smallSetup()
		s.groups[0].Count = 1
		sc := open(t, s)
		sc.load(only(load.Gauteng(), "layout"), 20, 20*time.Second)
		time.Sleep(time.Second)
		late(sc, "plan-01")
		time.Sleep(6 * time.Second)
		sc.Upstream("plan-01").SetFaults(upsim.Faults{})
		recovered := time.Now()
		refused := 0
		for _, one := range sc.judge().Failures {
			if one.Due.After(recovered.Add(servedAgain)) {
				refused++
			}
		}
		if refused > 0 {
			t.Errorf("%d requests were refused later than %v after the upstream has recovered", refused, servedAgain)
		}
	})
}

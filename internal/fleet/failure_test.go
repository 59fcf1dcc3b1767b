package fleet

import (
	"context"
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/memnet"
)

// recoveryTarget is the time within which a key must be served again after a failure.
const recoveryTarget = 4 * time.Second

// steadyRate is about a twentieth of the capacity of Gauteng's upstreams, in requests per second.
const steadyRate = 100

// maxInFlight is how many non-idempotent requests can be in flight at the upstreams that a failure affects.
// Those requests wait for a definite outcome as long as their callers do: a frozen upstream that verifies
// grants may report, once it resumes, that it has not run them.
const maxInFlight = 20

// failure is a fault that is injected into a fleet under load.
type failure struct {
	name            string
	inject          func(sc *scenario)
	restore         func(sc *scenario) // ends the failure, 10 s later; may be nil
	blocksKeys      bool               // some keys can't be served during the failure
	freezesUpstream bool               // an upstream resumes with non-idempotent work that it has not run
	isPlanned       bool               // no request may fail
	lostReplicas    int                // number of replicas that are lost or cut off
	interval        time.Duration      // time between the first fault and the last
}

func (sc *scenario) hostNamed(name string) int {
	for i, settings := range sc.Settings {
		if settings.Name == name {
			return i
		}
	}
	sc.t.Fatalf("no host %s", name)
	return -1
}

// leader returns the index of the leader, once a host that is up reports a leader that is up; 0 after a timeout.
func (sc *scenario) leader() int {
	const timeout = 3 * time.Second
	for start := time.Now(); time.Since(start) < timeout; time.Sleep(20 * time.Millisecond) {
		for i, host := range sc.Hosts {
			name := host.Status(time.Now()).Leader
			if !sc.down[i] && name != "" && !sc.down[sc.hostNamed(name)] {
				return sc.hostNamed(name)
			}
		}
	}
	return 0
}

// kill ends a host as a crash does.
func (sc *scenario) kill(i int) {
	if !sc.down[i] {
		sc.down[i] = true
		sc.Hosts[i].Kill()
	}
}

// restartDownHosts restarts all hosts that are down.
func (sc *scenario) restartDownHosts() {
	for i := range sc.down {
		restart(sc, i)
	}
	clear(sc.down)
}

// isolated returns a partition between one zone and all others; callers reach all zones.
func isolated(zone string) func(from, to memnet.Place) bool {
	return func(from, to memnet.Place) bool {
		if from.Zone == "callers" || to.Zone == "callers" {
			return false
		}
		return (from.Zone == zone) != (to.Zone == zone)
	}
}

// allIsolated is the partition of every zone from all others; callers reach all zones.
func allIsolated(from, to memnet.Place) bool {
	return from.Zone != to.Zone && from.Zone != "callers" && to.Zone != "callers"
}

func (sc *scenario) zoneOf(i int) string { return sc.Settings[i].Zone }

func restart(sc *scenario, i int) {
	if err := sc.Restart(time.Now(), i); err != nil {
		sc.t.Error(err)
	}
}

func failures() []failure {
	return []failure{
		{name: "upstream-lost", inject: func(sc *scenario) { sc.Upstream("plan-03").Kill() }},
		{
			name:            "upstream-frozen",
			freezesUpstream: true,
			inject:          func(sc *scenario) { sc.Upstream("plan-03").SetFrozen(true) },
			restore:         func(sc *scenario) { sc.Upstream("plan-03").SetFrozen(false) },
		},
		{name: "upstream-drains", isPlanned: true, inject: func(sc *scenario) { sc.Upstream("plan-03").Drain() }},
		{
			name:    "dispatcher-lost",
			inject:  func(sc *scenario) { sc.kill(sc.hostNamed("b2")) },
			restore: (*scenario).restartDownHosts,
		},
		{
			name:         "leader-lost",
			inject:       func(sc *scenario) { sc.kill(sc.leader()) },
			restore:      (*scenario).restartDownHosts,
			lostReplicas: 1,
		},
		{
			name: "leader-and-upstream-lost",
			inject: func(sc *scenario) {
				sc.kill(sc.leader())
				sc.Upstream("plan-03").Kill()
			},
			restore:      (*scenario).restartDownHosts,
			lostReplicas: 1,
		},
		{
			name: "leader-zone-lost",
			inject: func(sc *scenario) {
				zone := sc.zoneOf(sc.leader())
				for i := range sc.Hosts {
					if sc.zoneOf(i) == zone {
						sc.kill(i)
					}
				}
				for i, upstream := range sc.Upstreams {
					if i%3 == int(zone[0]-'a') && i < 25 || i >= 25 && (i-25)%3 == int(zone[0]-'a') {
						upstream.Kill()
					}
				}
			},
			lostReplicas: 1,
		},
		{
			name:         "zone-cut",
			lostReplicas: 1,
			inject:       func(sc *scenario) { sc.net.Partition(isolated("b")) },
			restore:      func(sc *scenario) { sc.net.Heal() },
			blocksKeys:   true,
		},
		{
			name:         "leader-zone-cut",
			lostReplicas: 1,
			inject:       func(sc *scenario) { sc.net.Partition(isolated(sc.zoneOf(sc.leader()))) },
			restore:      func(sc *scenario) { sc.net.Heal() },
			blocksKeys:   true,
		},
		{
			name:         "all-zones-cut",
			lostReplicas: 3,
			inject:       func(sc *scenario) { sc.net.Partition(allIsolated) },
			restore:      func(sc *scenario) { sc.net.Heal() },
			blocksKeys:   true,
		},
		{
			name: "connections-silent",
			inject: func(sc *scenario) {
				sc.net.Blackhole(func(from, to memnet.Place) bool { return from.Zone != "callers" && to.Zone != "callers" })
			},
		},
		{
			name:         "one-way-cut",
			lostReplicas: 1,
			inject: func(sc *scenario) {
				sc.net.Partition(func(from, to memnet.Place) bool { return from.Name == "c1" && to.Name == "a1" })
			},
			restore: func(sc *scenario) { sc.net.Heal() },
		},
		{
			name:      "rolling-restart",
			isPlanned: true,
			inject: func(sc *scenario) {
				for i := range sc.Hosts {
					if sc.down[i] {
						continue
					}
					sc.Hosts[i].Stop(context.Background())
					restart(sc, i)
					time.Sleep(time.Second)
				}
			},
		},
	}
}

// Under each single failure no guarantee may be violated, and keys must be served again within the target.
func TestFailures(t *testing.T) {
	for _, f := range failures() {
		for _, verifiesGrants := range []bool{true, false} {
			name := f.name + "/checking-upstreams"
			if !verifiesGrants {
				name = f.name + "/trusting-upstreams"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				inBubble(t, func(t *testing.T) { runFailure(t, f, verifiesGrants) })
			})
		}
	}
}

// runUnderLoad starts a load, injects the failure after 3 s and ends it 10 s later.
func (f failure) runUnderLoad(sc *scenario, workload load.Workload, rate float64, period time.Duration) {
	sc.startLoad(workload, rate, period)
	time.Sleep(3 * time.Second)
	f.inject(sc)
	time.Sleep(10 * time.Second)
	if f.restore != nil {
		f.restore(sc)
	}
}

func runFailure(t *testing.T, f failure, verifiesGrants bool) {
	s := gautengSetup()
	s.verifiesGrants = verifiesGrants
	sc := newScenario(t, s)
	f.runUnderLoad(sc, load.Gauteng(), steadyRate, 17*time.Second)
	f.checkTargets(t, sc.verify())
}

// Guards against non-idempotent requests without a key that run twice: a zone is cut off while some are in flight,
// some of them relayed through another host, and each side must not run again what the other side has started.
func TestZoneCutAmidConfirmations(t *testing.T) {
	for _, first := range []string{"", "b1", "b2"} {
		t.Run("first-cut-"+first, func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				sc := newScenario(t, gautengSetup())
				workload := load.Gauteng()
				workload.Calls = workload.Calls[:1]
				sc.startLoad(workload, 500, 8*time.Second)
				time.Sleep(2 * time.Second)
				sc.net.Partition(hostIsolated(first, "b"))
				time.Sleep(time.Second)
				sc.net.Partition(isolated("b"))
				time.Sleep(3 * time.Second)
				sc.net.Heal()
				sc.verify()
			})
		})
	}
}

// hostIsolated returns a partition between one host and all other zones.
func hostIsolated(host, zone string) func(from, to memnet.Place) bool {
	crossesZones := isolated(zone)
	return func(from, to memnet.Place) bool {
		return (from.Name == host || to.Name == host) && crossesZones(from, to)
	}
}

// checkTargets reports requests that took longer than the target or were not served.
func (f failure) checkTargets(t *testing.T, result *load.Result) {
	t.Helper()
	for _, tally := range result.Tallies {
		longest := time.Duration(tally.Latency.Max()) * time.Microsecond
		t.Logf("%s: longest %v", tally.Call.Name, longest)
		late := tally.Over(recoveryTarget + f.interval)
		mayWait := f.freezesUpstream && tally.Call.NonIdempotent
		if !f.blocksKeys && !mayWait && late > 0 {
			t.Errorf("%s: a request was served only after %v", tally.Call.Name, longest)
		}
		if !f.blocksKeys && !tally.Call.NonIdempotent && tally.Served != tally.Sent {
			t.Errorf("%s: %d of %d served", tally.Call.Name, tally.Served, tally.Sent)
		}
		if f.isPlanned && tally.Served != tally.Sent {
			t.Errorf("%s: %d of %d served in a planned stop", tally.Call.Name, tally.Served, tally.Sent)
		}
		if !f.blocksKeys && tally.Unknown+late > maxInFlight {
			t.Errorf("%s: %d requests with unknown outcome, %d late", tally.Call.Name, tally.Unknown, late)
		}
	}
}

package fleet

import (
	"context"
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/memnet"
)

// servedAgain is the target: a key is served again within this time of a loss.
const servedAgain = 4 * time.Second

// steadyRate is about a twentieth of what the upstreams of Gauteng can do, in requests a second.
const steadyRate = 100

// maxInFlight is how many exclusive requests can be under way at the upstreams that a failure hits.
// Those wait for a true outcome as long as their callers do: a frozen upstream that checks its grant
// may say when it returns that it has not run them.
const maxInFlight = 20

// failure is something that befalls a fleet under load.
type failure struct {
	name      string
	strike    func(sc *scene)
	calm      func(sc *scene) // ends it, 10 s later
	cutOff    bool            // some keys can't be served while it lasts
	freezes   bool            // an upstream returns with exclusive work that it has not run
	isPlanned bool            // no request may be cut
	replicas  int             // of the log that are lost or cut off
	gap       time.Duration   // between the first loss and the last
}

func (sc *scene) hostNamed(name string) int {
	for i, settings := range sc.Settings {
		if settings.Name == name {
			return i
		}
	}
	sc.t.Fatalf("no host %s", name)
	return -1
}

// leader returns the host that leads, once the hosts that are up know of one that is up.
func (sc *scene) leader() int {
	const patience = 3 * time.Second
	for began := time.Now(); time.Since(began) < patience; time.Sleep(20 * time.Millisecond) {
		for i, host := range sc.Hosts {
			name := host.Status(time.Now()).Leader
			if !sc.victims[i] && name != "" && !sc.victims[sc.hostNamed(name)] {
				return sc.hostNamed(name)
			}
		}
	}
	return 0
}

// kill ends a host as a crash would.
func (sc *scene) kill(i int) {
	if !sc.victims[i] {
		sc.victims[i] = true
		sc.Hosts[i].Kill()
	}
}

// restartVictims brings back the hosts that were killed.
func (sc *scene) restartVictims() {
	for i := range sc.victims {
		restart(sc, i)
	}
	clear(sc.victims)
}

// isolated cuts one zone off from all others; callers reach all zones.
func isolated(zone string) func(from, to memnet.Place) bool {
	return func(from, to memnet.Place) bool {
		if from.Zone == "callers" || to.Zone == "callers" {
			return false
		}
		return (from.Zone == zone) != (to.Zone == zone)
	}
}

func apart(from, to memnet.Place) bool {
	return from.Zone != to.Zone && from.Zone != "callers" && to.Zone != "callers"
}

func (sc *scene) zoneOf(i int) string { return sc.Settings[i].Zone }

func restart(sc *scene, i int) {
	if err := sc.Restart(time.Now(), i); err != nil {
		sc.t.Error(err)
	}
}

func failures() []failure {
	return []failure{
		{name: "upstream-lost", strike: func(sc *scene) { sc.Upstream("plan-03").Kill() }},
		{
			name:    "upstream-frozen",
			freezes: true,
			strike:  func(sc *scene) { sc.Upstream("plan-03").SetFrozen(true) },
			calm:    func(sc *scene) { sc.Upstream("plan-03").SetFrozen(false) },
		},
		{name: "upstream-drains", isPlanned: true, strike: func(sc *scene) { sc.Upstream("plan-03").Drain() }},
		{
			name:   "dispatcher-lost",
			strike: func(sc *scene) { sc.kill(sc.hostNamed("b2")) },
			calm:   (*scene).restartVictims,
		},
		{
			name:     "leader-lost",
			strike:   func(sc *scene) { sc.kill(sc.leader()) },
			calm:     (*scene).restartVictims,
			replicas: 1,
		},
		{
			name: "leader-and-upstream-lost",
			strike: func(sc *scene) {
				sc.kill(sc.leader())
				sc.Upstream("plan-03").Kill()
			},
			calm:     (*scene).restartVictims,
			replicas: 1,
		},
		{
			name: "leader-zone-lost",
			strike: func(sc *scene) {
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
			replicas: 1,
		},
		{
			name:     "zone-cut",
			replicas: 1,
			strike:   func(sc *scene) { sc.net.Partition(isolated("b")) },
			calm:     func(sc *scene) { sc.net.Heal() },
			cutOff:   true,
		},
		{
			name:     "leader-zone-cut",
			replicas: 1,
			strike:   func(sc *scene) { sc.net.Partition(isolated(sc.zoneOf(sc.leader()))) },
			calm:     func(sc *scene) { sc.net.Heal() },
			cutOff:   true,
		},
		{
			name:     "all-zones-cut",
			replicas: 3,
			strike:   func(sc *scene) { sc.net.Partition(apart) },
			calm:     func(sc *scene) { sc.net.Heal() },
			cutOff:   true,
		},
		{
			name: "connections-silent",
			strike: func(sc *scene) {
				sc.net.Blackhole(func(from, to memnet.Place) bool { return from.Zone != "callers" && to.Zone != "callers" })
			},
		},
		{
			name:     "one-way-cut",
			replicas: 1,
			strike: func(sc *scene) {
				sc.net.Partition(func(from, to memnet.Place) bool { return from.Name == "c1" && to.Name == "a1" })
			},
			calm: func(sc *scene) { sc.net.Heal() },
		},
		{
			name:      "rolling-restart",
			isPlanned: true,
			strike: func(sc *scene) {
				for i := range sc.Hosts {
					if sc.victims[i] {
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

// Under each failure every promise holds, and keys are served again within the target.
func TestFailures(t *testing.T) {
	for _, f := range failures() {
		for _, checks := range []bool{true, false} {
			name := f.name + "/checking-upstreams"
			if !checks {
				name = f.name + "/trusting-upstreams"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				in(t, func(t *testing.T) { runFailure(t, f, checks) })
			})
		}
	}
}

// befall loads a scene, strikes after 3 s and ends the failure 10 s later.
func (f failure) befall(sc *scene, shape load.Workload, rate float64, period time.Duration) {
	sc.load(shape, rate, period)
	time.Sleep(3 * time.Second)
	f.strike(sc)
	time.Sleep(10 * time.Second)
	if f.calm != nil {
		f.calm(sc)
	}
}

func runFailure(t *testing.T, f failure, checks bool) {
	s := gautengSetup()
	s.checks = checks
	sc := open(t, s)
	f.befall(sc, load.Gauteng(), steadyRate, 17*time.Second)
	f.check(t, sc.judge())
}

// A zone is cut off while exclusive requests without a key are under way, some of them by way of another
// host: the zone that goes on alone must not run again what another zone has started.
func TestZoneCutAmidConfirmations(t *testing.T) {
	for _, first := range []string{"", "b1", "b2"} {
		t.Run("first-cut-"+first, func(t *testing.T) {
			t.Parallel()
			in(t, func(t *testing.T) {
				sc := open(t, gautengSetup())
				shape := load.Gauteng()
				shape.Calls = shape.Calls[:1]
				sc.load(shape, 500, 8*time.Second)
				time.Sleep(2 * time.Second)
				sc.net.Partition(hostCut(first, "b"))
				time.Sleep(time.Second)
				sc.net.Partition(isolated("b"))
				time.Sleep(3 * time.Second)
				sc.net.Heal()
				sc.judge()
			})
		})
	}
}

// hostCut cuts one host off from the other zones.
func hostCut(host, zone string) func(from, to memnet.Place) bool {
	beyond := isolated(zone)
	return func(from, to memnet.Place) bool {
		return (from.Name == host || to.Name == host) && beyond(from, to)
	}
}

// check holds a result against the target.
func (f failure) check(t *testing.T, result *load.Result) {
	t.Helper()
	for _, tally := range result.Tallies {
		longest := time.Duration(tally.Latency.Max()) * time.Microsecond
		t.Logf("%s: longest %v", tally.Call.Name, longest)
		late := tally.Over(servedAgain + f.gap)
		mayWait := f.freezes && tally.Call.NonIdempotent
		if !f.cutOff && !mayWait && late > 0 {
			t.Errorf("%s: a key was not served for %v", tally.Call.Name, longest)
		}
		if !f.cutOff && !tally.Call.NonIdempotent && tally.Served != tally.Sent {
			t.Errorf("%s: %d of %d served", tally.Call.Name, tally.Served, tally.Sent)
		}
		if f.isPlanned && tally.Served != tally.Sent {
			t.Errorf("%s: %d of %d served in a planned stop", tally.Call.Name, tally.Served, tally.Sent)
		}
		if !f.cutOff && tally.Unknown+late > maxInFlight {
			t.Errorf("%s: the outcome of %d is unknown, of %d late", tally.Call.Name, tally.Unknown, late)
		}
	}
}

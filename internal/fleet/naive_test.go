package fleet

import (
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/conf"
	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/naive"
)

// openNaive lays out the same fleet with naive routers in place of the entry hosts. Upstreams
// announce themselves to all routers.
func openNaive(t *testing.T, s setup) *scene {
	t.Helper()
	network := s.network()
	plan := planOf(t, s, network)
	plan.Naive = true
	f, err := Build(time.Now(), plan)
	if err != nil {
		t.Fatal(err)
	}
	config, err := conf.ParseConfig([]byte(s.config))
	if err != nil {
		t.Fatal(err)
	}
	sc := &scene{Fleet: f, t: t, net: network, done: make(chan struct{})}
	for _, settings := range f.Settings {
		port := network.At(settings.Zone, settings.Name)
		router := naive.New(config, port)
		if err := router.Start(port, settings.Callers, settings.Upstreams); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(router.Stop)
		sc.routers = append(sc.routers, router)
	}
	t.Cleanup(func() {
		for _, upstream := range f.Upstreams {
			upstream.Kill()
		}
		time.Sleep(3 * time.Minute) // for requests that queue at upstreams to end
	})
	for _, upstream := range f.Upstreams {
		if err := upstream.Start(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(2 * time.Second)
	return sc
}

// stopEntry ends an entry host, or the naive router in its place.
func (sc *scene) stopEntry(i int) {
	if sc.routers != nil {
		sc.routers[i].Stop()
		return
	}
	sc.kill(i)
}

// naiveRate leaves enough requests under way for a violation to be seen, in requests a second.
const naiveRate = 400

// The scenes are able to show violations: the naive router breaks a promise in each of these.
func TestNaiveBreaksPromises(t *testing.T) {
	breaks := map[string]func(load.Verification) bool{
		"upstream-frozen":    func(v load.Verification) bool { return v.Doubled > 0 },
		"zone-cut":           func(v load.Verification) bool { return v.TwoOwners > 0 },
		"all-zones-cut":      func(v load.Verification) bool { return v.TwoOwners > 0 },
		"connections-silent": func(v load.Verification) bool { return v.Doubled > 0 || v.FalseNotRun > 0 || v.TwoOwners > 0 },
	}
	for _, f := range failures() {
		isBroken, ok := breaks[f.name]
		if !ok {
			continue
		}
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			in(t, func(t *testing.T) {
				s := gautengSetup()
				s.checks = false
				sc := openNaive(t, s)
				f.befall(sc, load.Gauteng(), naiveRate, 15*time.Second)
				<-sc.done
				verdict := sc.result.Verify(sc.Ledger.Runs())
				t.Logf("%+v", verdict)
				if !isBroken(verdict) {
					t.Error("the scene shows no violation by the naive router")
				}
			})
		})
	}
}

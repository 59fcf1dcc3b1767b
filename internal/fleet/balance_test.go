package fleet

import (
	"testing"
	"time"

	"lovagelink.example/lovagelink/examples"
	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/upsim"
)

// imbalance is the most runs of an upstream of plan over the mean, in a part of the ledger.
func imbalance(runs []upsim.Run, from, to time.Time, upstreams int) float64 {
	counts := make(map[string]float64)
	total, most := 0.0, 0.0
	for _, run := range runs {
		if run.Keyed && run.Began.After(from) && run.Began.Before(to) {
			counts[run.Upstream]++
			most = max(most, counts[run.Upstream])
			total++
		}
	}
	return most / (total / float64(upstreams))
}

// Slots follow the load: the hottest keys share their upstreams with less and less other work, every
// promise holds while slots move, and no request is refused or lost for it.
func TestHotKeysSpread(t *testing.T) {
	in(t, func(t *testing.T) {
		sc := open(t, gautengSetup())
		shape := load.Gauteng()
		shape.Keys = 400
		sc.load(shape, 200, 40*time.Second)
		result := sc.judge()
		runs := sc.Ledger.Runs()
		before := imbalance(runs, sc.began, sc.began.Add(8*time.Second), 25)
		after := imbalance(runs, sc.began.Add(32*time.Second), sc.began.Add(40*time.Second), 25)
		t.Logf("max over mean: first 8 s %.2f, last 8 s %.2f", before, after)
		if after >= before {
			t.Errorf("imbalance was %.2f and is %.2f", before, after)
		}
		for _, tally := range result.Tallies {
			if tally.Served != tally.Sent {
				t.Errorf("%s: %d of %d served while slots moved", tally.Call.Name, tally.Served, tally.Sent)
			}
		}
	})
}

// Kingston's shape and sizes through the worst single loss.
func TestKingston(t *testing.T) {
	for _, f := range failures() {
		if f.name != "leader-zone-lost" && f.name != "upstream-frozen" && f.name != "rolling-restart" {
			continue
		}
		if f.name == "upstream-frozen" {
			f.strike = func(sc *scene) { sc.Upstream("rounds-03").SetFrozen(true) }
			f.calm = func(sc *scene) { sc.Upstream("rounds-03").SetFrozen(false) }
		}
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			in(t, func(t *testing.T) {
				sc := open(t, setup{config: examples.Kingston, hosts: 10, groups: Kingston(), checks: true, delays: kingstonDelays})
				f.befall(sc, load.Kingston(), steadyRate, 17*time.Second)
				f.check(t, sc.judge())
			})
		})
	}
}

// An upstream that has become slow hands most of its slots to others.
func TestSlowUpstreamOwnsLess(t *testing.T) {
	in(t, func(t *testing.T) {
		sc := open(t, gautengSetup())
		sc.load(load.Gauteng(), 200, 40*time.Second)
		sc.Upstream("plan-03").SetFaults(upsim.Faults{Late: 300 * time.Millisecond})
		result := sc.judge()
		owned := sc.Hosts[0].Status(time.Now()).Owned
		t.Logf("slots: plan-03 %d, plan-04 %d", owned["plan-03"], owned["plan-04"])
		if 3*owned["plan-03"] > owned["plan-04"] {
			t.Errorf("the slow upstream has %d slots, another one %d", owned["plan-03"], owned["plan-04"])
		}
		for _, tally := range result.Tallies {
			if tally.Unknown > 0 {
				t.Errorf("%s: the outcome of %d is unknown", tally.Call.Name, tally.Unknown)
			}
		}
	})
}

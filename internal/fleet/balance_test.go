package fleet

import (
	"testing"
	"time"

	"lovagelink.example/lovagelink/examples"
	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/upsim"
)

// imbalance returns the maximum over the mean of the keyed requests that each upstream ran between two times.
func imbalance(runs []upsim.Run, from, to time.Time, upstreams int) float64 {
	counts := make(map[string]float64)
	total, highest := 0.0, 0.0
	for _, run := range runs {
		if run.Keyed && run.Began.After(from) && run.Began.Before(to) {
			counts[run.Upstream]++
			highest = max(highest, counts[run.Upstream])
			total++
		}
	}
	return highest / (total / float64(upstreams))
}

// Guards against load that stays skewed: slots must move so that upstreams with the hottest keys get less
// other work, without a violated guarantee and without a request that is refused or lost by a move.
func TestHotKeysSpread(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sc := newScenario(t, gautengSetup())
		workload := load.Gauteng()
		workload.Keys = 400
		sc.startLoad(workload, 200, 40*time.Second)
		result := sc.verify()
		runs := sc.Ledger.Runs()
		before := imbalance(runs, sc.started, sc.started.Add(8*time.Second), 25)
		after := imbalance(runs, sc.started.Add(32*time.Second), sc.started.Add(40*time.Second), 25)
		t.Logf("max over mean: first 8 s %.2f, last 8 s %.2f", before, after)
		if after >= before {
			t.Errorf("imbalance did not fall: %.2f before, %.2f after", before, after)
		}
		for _, tally := range result.Tallies {
			if tally.Served != tally.Sent {
				t.Errorf("%s: %d of %d served while slots moved", tally.Call.Name, tally.Served, tally.Sent)
			}
		}
	})
}

// The worst single failures, with the workload, sizes and delays of Kingston.
func TestKingston(t *testing.T) {
	for _, f := range failures() {
		if f.name != "leader-zone-lost" && f.name != "upstream-frozen" && f.name != "rolling-restart" {
			continue
		}
		if f.name == "upstream-frozen" {
			f.inject = func(sc *scenario) { sc.Upstream("rounds-03").SetFrozen(true) }
			f.restore = func(sc *scenario) { sc.Upstream("rounds-03").SetFrozen(false) }
		}
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				sc := newScenario(t, setup{config: examples.Kingston, hosts: 10, groups: Kingston(), verifiesGrants: true, delays: kingstonDelays})
				f.runUnderLoad(sc, load.Kingston(), steadyRate, 17*time.Second)
				f.checkTargets(t, sc.verify())
			})
		})
	}
}

// An upstream that has become slow must lose most of its slots to other upstreams.
func TestSlowUpstreamOwnsLess(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sc := newScenario(t, gautengSetup())
		sc.startLoad(load.Gauteng(), 200, 40*time.Second)
		sc.Upstream("plan-03").SetFaults(upsim.Faults{Late: 300 * time.Millisecond})
		result := sc.verify()
		owned := sc.Hosts[0].Status(time.Now()).Owned
		t.Logf("slots: plan-03 %d, plan-04 %d", owned["plan-03"], owned["plan-04"])
		if 3*owned["plan-03"] > owned["plan-04"] {
			t.Errorf("slow upstream plan-03 owns %d slots, plan-04 owns %d", owned["plan-03"], owned["plan-04"])
		}
		for _, tally := range result.Tallies {
			if tally.Unknown > 0 {
				t.Errorf("%s: %d requests with unknown outcome", tally.Call.Name, tally.Unknown)
			}
		}
	})
}

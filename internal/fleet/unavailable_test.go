package fleet

import (
	"slices"
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/upsim"
)

// fewKeys is so small that each key is requested several times a second at fewKeysRate, in requests per second.
const (
	fewKeys     = 30
	fewKeysRate = 600
)

// Measures the longest time for which a key is not served after a loss, by lovagelink and by the naive router.
func TestUnavailable(t *testing.T) {
	stopZoneA := func(sc *scenario) {
		for i := range sc.Settings {
			if sc.zoneOf(i) == "a" {
				sc.stopEntry(i)
			}
		}
		for i, upstream := range sc.Upstreams {
			if sc.upstreamZone(i) == "a" {
				upstream.Kill()
			}
		}
	}
	for _, tc := range []struct {
		name   string
		inject func(sc *scenario)
	}{
		{"upstream", func(sc *scenario) { sc.Upstream("plan-03").Kill() }},
		{"dispatcher", func(sc *scenario) { sc.stopEntry(sc.hostNamed("b2")) }},
		{"leader", func(sc *scenario) { sc.stopEntry(sc.hostNamed("a1")) }},
		{"zone", stopZoneA},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				s := gautengSetup()
				s.verifiesGrants = false
				naiveOutage := longestOutage(newNaiveScenario(t, s), tc.inject)
				outage := longestOutage(newScenario(t, s), tc.inject)
				t.Logf("%s: longest without service: naive %v, lovagelink %v, ratio %.2f", tc.name, naiveOutage, outage,
					outage.Seconds()/naiveOutage.Seconds())
				if outage > recoveryTarget {
					t.Errorf("a key was not served for %v", outage)
				}
			})
		})
	}
}

// upstreamZone returns the zone of an upstream of Gauteng.
func (sc *scenario) upstreamZone(i int) string {
	group := Gauteng()[0]
	if i >= group.Count {
		i -= group.Count
	}
	return string(rune('a' + i%3))
}

// longestOutage injects a failure and returns the longest time after that in which no request for a key started.
func longestOutage(sc *scenario, inject func(sc *scenario)) time.Duration {
	const before, after = 3 * time.Second, 9 * time.Second
	workload := onlyCall(load.Gauteng(), "layout")
	workload.Keys = fewKeys
	sc.startLoad(workload, fewKeysRate, before+after)
	time.Sleep(before)
	injectedAt := time.Now()
	inject(sc)
	<-sc.done
	runs := slices.DeleteFunc(sc.Ledger.Runs(), func(run upsim.Run) bool { return run.Began.Before(injectedAt) })
	slices.SortFunc(runs, func(a, b upsim.Run) int { return a.Began.Compare(b.Began) })
	lastStarts := make(map[string]time.Time)
	longest := time.Duration(0)
	for _, run := range runs {
		previous, ok := lastStarts[run.Key]
		if !ok {
			previous = injectedAt
		}
		longest = max(longest, run.Began.Sub(previous))
		lastStarts[run.Key] = run.Began
	}
	return longest
}

package fleet

import (
	"slices"
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/upsim"
)

// fewKeys are so few that each one is asked for several times a second.
const (
	fewKeys     = 30
	fewKeysRate = 600
)

// How long keys are not served after a loss, by lovagelink and by the naive router.
func TestUnavailable(t *testing.T) {
	zoneA := func(sc *scene) {
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
	for _, one := range []struct {
		name   string
		strike func(sc *scene)
	}{
		{"upstream", func(sc *scene) { sc.Upstream("plan-03").Kill() }},
		{"dispatcher", func(sc *scene) { sc.stopEntry(sc.hostNamed("b2")) }},
		{"leader", func(sc *scene) { sc.stopEntry(sc.hostNamed("a1")) }},
		{"zone", zoneA},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			in(t, func(t *testing.T) {
				s := gautengSetup()
				s.checks = false
				other := unavailable(openNaive(t, s), one.strike)
				mine := unavailable(open(t, s), one.strike)
				t.Logf("%s: longest without service: naive %v, lovagelink %v, ratio %.2f", one.name, other, mine, mine.Seconds()/other.Seconds())
				if mine > servedAgain {
					t.Errorf("a key was not served for %v", mine)
				}
			})
		})
	}
}

// upstreamZone is the zone of an upstream of Gauteng.
func (sc *scene) upstreamZone(i int) string {
	group := Gauteng()[0]
	if i >= group.Count {
		i -= group.Count
	}
	return string(rune('a' + i%3))
}

// unavailable strikes and returns the longest time after that in which no request of a key began to run.
func unavailable(sc *scene, strike func(sc *scene)) time.Duration {
	const before, after = 3 * time.Second, 9 * time.Second
	shape := only(load.Gauteng(), "layout")
	shape.Keys = fewKeys
	sc.load(shape, fewKeysRate, before+after)
	time.Sleep(before)
	struck := time.Now()
	strike(sc)
	<-sc.done
	runs := slices.DeleteFunc(sc.Ledger.Runs(), func(run upsim.Run) bool { return run.Began.Before(struck) })
	slices.SortFunc(runs, func(a, b upsim.Run) int { return a.Began.Compare(b.Began) })
	newest := make(map[string]time.Time)
	longest := time.Duration(0)
	for _, run := range runs {
		previous, ok := newest[run.Key]
		if !ok {
			previous = struck
		}
		longest = max(longest, run.Began.Sub(previous))
		newest[run.Key] = run.Began
	}
	return longest
}

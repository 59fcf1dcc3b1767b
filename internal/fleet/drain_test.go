package fleet

import (
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/upsim"
)

// maxWorkAfterDrain is the time for which a draining upstream may still get new work.
const maxWorkAfterDrain = 3 * time.Second

// A draining upstream must soon get no new work, under light load and in a flood. The naive router goes on sending.
func TestDrainEndsNewWork(t *testing.T) {
	for _, tc := range []struct {
		name   string
		factor float64 // rate of layouts, as a multiple of the capacity
	}{
		{"calm", 0}, {"flood-3x", 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				noGrantChecks := smallSetup()
				noGrantChecks.verifiesGrants = false
				last, _ := drainUnderLoad(newNaiveScenario(t, noGrantChecks), tc.factor)
				t.Logf("naive: last new work after %v", last)
				if last <= maxWorkAfterDrain {
					t.Error("the scenario shows no violation by the naive router")
				}
				sc := newScenario(t, smallSetup())
				last, flood := drainUnderLoad(sc, tc.factor)
				t.Logf("lovagelink: last new work after %v", last)
				if last > maxWorkAfterDrain {
					t.Errorf("plan-02 got new work %v after its drain began", last)
				}
				sc.verifyAll(flood)
			})
		})
	}
}

// drainUnderLoad drains an upstream under load and returns the time from then to the start of its last work.
func drainUnderLoad(sc *scenario, factor float64) (last time.Duration, flood *load.Result) {
	sc.startLoad(load.Gauteng(), smallRate, 10*time.Second)
	floodResult := sc.startFlood(onlyCall(load.Gauteng(), "layout"), max(factor*smallCapacity, 1), 9*time.Second)
	time.Sleep(2 * time.Second)
	drainedAt := time.Now()
	sc.Upstream("plan-02").Drain()
	<-sc.done
	flood = <-floodResult
	return lastStart(sc.Ledger.Runs(), "plan-02").Sub(drainedAt), flood
}

func lastStart(runs []upsim.Run, upstream string) time.Time {
	var last time.Time
	for _, run := range runs {
		if run.Upstream == upstream && run.Began.After(last) {
			last = run.Began
		}
	}
	return last
}

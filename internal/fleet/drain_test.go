package fleet

import (
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/upsim"
)

// drainBound is how long an upstream that is leaving may still get new work.
const drainBound = 3 * time.Second

// A leaving upstream gets no new work after a few seconds, in calm and in a flood.
func TestDrainEndsNewWork(t *testing.T) {
	for _, one := range []struct {
		name   string
		factor float64 // of the capacity, in layouts
	}{
		{"calm", 0}, {"flood-3x", 3},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			in(t, func(t *testing.T) {
				trusting := smallSetup()
				trusting.checks = false
				last, _ := drainUnderLoad(openNaive(t, trusting), one.factor)
				t.Logf("naive: last new work after %v", last)
				if last <= drainBound {
					t.Error("the scene shows no violation by the naive router")
				}
				sc := open(t, smallSetup())
				last, flood := drainUnderLoad(sc, one.factor)
				t.Logf("lovagelink: last new work after %v", last)
				if last > drainBound {
					t.Errorf("new work %v after it began to leave", last)
				}
				sc.judgeAll(flood)
			})
		})
	}
}

// drainUnderLoad has an upstream leave and returns how long after that it began its last work.
func drainUnderLoad(sc *scene, factor float64) (last time.Duration, flood *load.Result) {
	sc.load(load.Gauteng(), smallRate, 10*time.Second)
	flooded := sc.flood(only(load.Gauteng(), "layout"), max(factor*smallCapacity, 1), 9*time.Second)
	time.Sleep(2 * time.Second)
	began := time.Now()
	sc.Upstream("plan-02").Drain()
	<-sc.done
	flood = <-flooded
	return lastWork(sc.Ledger.Runs(), "plan-02").Sub(began), flood
}

func lastWork(runs []upsim.Run, upstream string) time.Time {
	var last time.Time
	for _, run := range runs {
		if run.Upstream == upstream && run.Began.After(last) {
			last = run.Began
		}
	}
	return last
}

package ctrl

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An upstream with a much higher latency than the median, or with a lower concurrency, gets a lower speed. An upstream
// whose latency report is outdated gets the speed of the median latency.
func TestSpeeds(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := newLoads()
	report := func(at time.Time, upstream string, latency time.Duration) {
		l.record(at, []SlotLoads{{Service: "plan", Upstream: upstream, Latency: latency}})
	}
	report(now, "usual", 20*time.Millisecond)
	report(now, "close", 28*time.Millisecond)
	report(now, "slow", 100*time.Millisecond)
	report(now, "stuck", 10*time.Second)
	report(now.Add(-2*latencyTTL), "silent", time.Second)
	capacities := []capacity{{"usual", 4}, {"close", 4}, {"slow", 4}, {"stuck", 4}, {"silent", 4}, {"small", 2}}
	want := []float64{1, 1, 0.28, minSpeed, 1, 0.5}
	for i, owner := range l.speeds(now, capacities) {
		is.Equal(owner.Name, capacities[i].id)
		is.True(owner.Speed > want[i]-0.001 && owner.Speed < want[i]+0.001) // the median is 28 ms
	}
}

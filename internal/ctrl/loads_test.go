package ctrl

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An upstream that takes much longer than the usual, or has fewer slots, counts as slower; one that has not
// been heard of for long counts as usual.
func TestSpeeds(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := newLoads()
	report := func(at time.Time, upstream string, took time.Duration) {
		l.add(at, []SlotLoads{{Service: "plan", Upstream: upstream, Latency: took}})
	}
	report(now, "usual", 20*time.Millisecond)
	report(now, "close", 28*time.Millisecond)
	report(now, "slow", 100*time.Millisecond)
	report(now, "stuck", 10*time.Second)
	report(now.Add(-2*tookKept), "silent", time.Second)
	able := []capable{{"usual", 4}, {"close", 4}, {"slow", 4}, {"stuck", 4}, {"silent", 4}, {"small", 2}}
	want := []float64{1, 1, 0.28, leastSpeed, 1, 0.5}
	for i, owner := range l.speeds(now, able) {
		is.Equal(owner.Name, able[i].id)
		is.True(owner.Speed > want[i]-0.001 && owner.Speed < want[i]+0.001) // the median is 28 ms
	}
}

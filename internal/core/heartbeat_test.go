package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/realm"
)

// A heartbeat that arrives while a report to the leader is on its way is in the next report, whether the first one
// arrives or not.
func TestHeartbeatDuringAReport(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := newHeartbeats()
	a := realm.Instance{ID: "a", StartMillis: 1}
	is.True(b.record(now, a, 1))
	is.Equal(b.takeUnreported(), []realm.Instance{a})
	is.Equal(len(b.takeUnreported()), 0)
	is.True(b.record(now, a, 2)) // the report is on its way
	is.Equal(b.takeUnreported(), []realm.Instance{a})
	b.returnUnreported([]realm.Instance{a}) // it has failed
	is.Equal(b.takeUnreported(), []realm.Instance{a})
}

// After 100,000 starts of upstreams, a host remembers the heartbeats of those that are registered, and of those that
// ended lately.
func TestHeartbeatsOfEndedInstancesAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := newHeartbeats()
	const lives = 100_000
	registered := realm.Instance{ID: "u-0", StartMillis: 0}
	for i := range lives {
		now = now.Add(100 * time.Millisecond)
		b.record(now, realm.Instance{ID: fmt.Sprint("u-", i%100), StartMillis: int64(i)}, 1)
		if i%1000 == 0 {
			b.prune(now, func(instance realm.Instance) bool { return instance == registered })
		}
	}
	is.True(len(b.last) < lives/50)
	is.Equal(len(b.last), len(b.sequence))
	is.True(!b.last[registered].IsZero()) // it is silent, but the log holds it
}

package keyed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// longestWait models a host that handles one call at a time, each for the same time. It returns how long a message that
// becomes due at regular times waits at most behind calls that have started.
func longestWait(starts []time.Duration, callTime time.Duration, every time.Duration) time.Duration {
	var longest, free time.Duration
	for due, i := time.Duration(0), 0; i < len(starts); due += every {
		for ; i < len(starts) && starts[i] <= due; i++ {
			free = max(free, starts[i]) + callTime
		}
		longest = max(longest, free-due)
	}
	return longest
}

// The messages of the log get their turn while a new leader calls all owners, within the time that a replica waits for
// a reply. If all calls start at once, they don't.
func TestFirstGrantsLeaveTimeForTheLog(t *testing.T) {
	is := is.New(t)
	const (
		owners     = 386
		callTime   = 1500 * time.Microsecond // on a quarter of a core
		logTimeout = 400 * time.Millisecond
		over       = 600 * time.Millisecond
	)
	now := time.Unix(1000, 0)
	pacer := NewPacer(GrantInterval(0.24))
	paced, atOnce := make([]time.Duration, owners), make([]time.Duration, owners)
	for i := range paced {
		paced[i] = pacer.Delay(now)
	}
	is.True(longestWait(paced, callTime, 20*time.Millisecond) < logTimeout/4)
	is.True(longestWait(atOnce, callTime, 20*time.Millisecond) > logTimeout)
	is.True(paced[owners-1] < over)                               // grants of the former leader still last when the last owner is called
	is.Equal(pacer.Delay(now.Add(time.Minute)), time.Duration(0)) // a new owner is called at once
}

// The owners of a deployment of 285 entry hosts can all be called between two renewals, with those of a lost zone that
// are called again in between, and the messages of the log still get their turn.
func TestGrantsOfManyOwnersLeaveTimeForTheLog(t *testing.T) {
	is := is.New(t)
	const (
		owners        = 880
		lostOwners    = 176
		callTime      = 750 * time.Microsecond // on half a core
		logTimeout    = 400 * time.Millisecond
		renewInterval = 2 * time.Second
	)
	now := time.Unix(1000, 0)
	pacer := NewPacer(GrantInterval(0.48))
	starts := make([]time.Duration, owners+2*lostOwners)
	for i := range starts {
		starts[i] = pacer.Delay(now)
	}
	is.True(longestWait(starts, callTime, 20*time.Millisecond) < logTimeout/4)
	is.True(starts[len(starts)-1] < renewInterval)
}

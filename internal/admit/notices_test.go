package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An upstream that says it leaves counts as gone after the grace time from its first word on, however often it repeats it.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var n Notices
	is.Equal(n.GoneFor(now, time.Second), time.Duration(0))
	is.True(!n.IsLeaving())
	is.True(n.RecordLeaving(now))
	is.True(!n.RecordLeaving(now.Add(900 * time.Millisecond)))
	is.True(n.IsLeaving())
	is.Equal(n.GoneFor(now.Add(time.Second), time.Second), time.Duration(0))
	is.Equal(n.GoneFor(now.Add(1500*time.Millisecond), time.Second), 500*time.Millisecond)
}

// A pause lasts as long as the longest that the upstream has asked for.
func TestPause(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var n Notices
	n.RecordPause(now, 2*time.Second)
	n.RecordPause(now.Add(time.Second), 100*time.Millisecond)
	is.Equal(n.PauseLeft(now.Add(time.Second)), time.Second)
	is.Equal(n.PauseLeft(now.Add(2*time.Second)), time.Duration(0))
}

// 285 hosts send to one busy upstream that turns requests away with a pause of a second. Each refusal costs the upstream
// as much as a tenth of a request. Hosts that obey waste less than a twentieth of it, and hosts that don't most of it.
func TestPauseEndsUselessRequests(t *testing.T) {
	is := is.New(t)
	const (
		hosts     = 285
		perSecond = 2 // requests of each host
		seconds   = 10
	)
	refusals := func(obeys bool) (count int) {
		notices := make([]Notices, hosts)
		begin := time.Unix(1000, 0)
		for at := time.Duration(0); at < seconds*time.Second; at += time.Second / perSecond / 5 {
			for i := range notices {
				// Each host's requests come at a phase of its own, and callers that were refused come again at once.
				if obeys && notices[i].PauseLeft(begin.Add(at)) > 0 {
					continue
				}
				count++
				notices[i].RecordPause(begin.Add(at), time.Second)
			}
		}
		return count
	}
	is.True(refusals(true) <= hosts*seconds)
	is.True(refusals(false) >= 5*refusals(true))
}

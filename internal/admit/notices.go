package admit

import (
	"math"
	"time"
)

// Notices is what an upstream has said in its responses to this host about the requests that it wants: that it is
// leaving, that it wants none for a while, or only some per second from all hosts together. The load patterns are the
// planned replacement of upstreams, when control hosts may learn later than the entry hosts that an upstream leaves, and
// overload, when every further request of every host costs the upstream a refusal.
type Notices struct {
	leavingSince time.Time
	pausedUntil  time.Time
	limit        float64 // requests per second
	hasLimit     bool
	limitedAt    time.Time // when the limit was last named
}

// RecordLimit records whether a response to a request that was sent at sentAt names a limit, in requests per second. It
// reports whether that changes the limit by more than a little. Responses may arrive in another order than they were
// sent, so one without a limit ends the limit only if its request was sent after the limit was last named.
func (n *Notices) RecordLimit(sentAt, now time.Time, limit float64, hasLimit bool) (changes bool) {
	if hasLimit {
		changes = !n.hasLimit || !IsSameLimit(n.limit, limit)
		n.limit, n.hasLimit, n.limitedAt = limit, true, now
		return changes
	}
	if !n.hasLimit || sentAt.Before(n.limitedAt) {
		return false
	}
	n.limit, n.hasLimit = 0, false
	return true
}

// limitTolerance is the relative change of a limit from which other hosts have to learn of it.
const limitTolerance = 0.05

// IsSameLimit reports whether two limits differ by so little that other hosts need not learn of the change.
func IsSameLimit(a, b float64) bool { return math.Abs(a-b) <= limitTolerance*min(a, b) }

// LearnLimit sets the limit that other hosts were told, in requests per second, 0 if the upstream names none any more. An
// end of the limit that they have seen does not count if this host was told of the limit after that.
func (n *Notices) LearnLimit(now time.Time, limit float64) {
	if limit > 0 {
		n.limit, n.hasLimit, n.limitedAt = limit, true, now
		return
	}
	if now.Sub(n.limitedAt) >= learnTime {
		n.limit, n.hasLimit = 0, false
	}
}

// learnTime is how long what one host was told usually takes to reach the others.
const learnTime = 2 * time.Second

// Limit returns the requests per second that the upstream takes from all hosts together, and whether it has named a limit.
func (n *Notices) Limit() (float64, bool) { return n.limit, n.hasLimit }

// RecordLeaving records that the upstream has said that it is leaving; it reports whether that is new.
func (n *Notices) RecordLeaving(now time.Time) bool {
	if !n.leavingSince.IsZero() {
		return false
	}
	n.leavingSince = now
	return true
}

// IsLeaving reports whether the upstream has said that it is leaving.
func (n *Notices) IsLeaving() bool { return !n.leavingSince.IsZero() }

// GoneFor returns for how long the upstream counts as gone: for the grace time after its word that it is leaving, it
// still serves the keys that it owns, since these have to move first.
func (n *Notices) GoneFor(now time.Time, grace time.Duration) time.Duration {
	if n.leavingSince.IsZero() {
		return 0
	}
	return max(0, now.Sub(n.leavingSince)-grace)
}

// RecordPause records that the upstream wants no requests for a time. A shorter time than before does not shorten the
// pause, since responses may arrive in another order than they were sent.
func (n *Notices) RecordPause(now time.Time, period time.Duration) {
	if until := now.Add(period); until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
}

// PauseLeft returns how much longer the upstream wants no requests.
func (n *Notices) PauseLeft(now time.Time) time.Duration { return max(0, n.pausedUntil.Sub(now)) }

package admit

import "time"

// Notices is what an upstream has said in its responses to this host about the requests that it wants: that it is
// leaving, or that it wants none for a while. The load patterns are the planned replacement of upstreams, when control
// hosts may learn later than the entry hosts that an upstream leaves, and overload, when every further request of every
// host costs the upstream a refusal.
type Notices struct {
	leavingSince time.Time
	pausedUntil  time.Time
}

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

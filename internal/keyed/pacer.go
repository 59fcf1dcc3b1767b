package keyed

import "time"

// Pacer spreads the first grants of a leader's tenure over time. Without it, all owners are called in the same moment,
// each on a new connection, and on a host with a part of a core the messages of the log wait behind these calls until
// the leader has lost its lease. The next leader begins with the same calls.
type Pacer struct {
	interval time.Duration
	next     time.Time
}

// NewPacer returns a pacer that spreads a number of calls, which are all due at once, over a time.
func NewPacer(calls int, over time.Duration) *Pacer {
	return &Pacer{interval: over / time.Duration(max(1, calls))}
}

// Delay returns how long to wait before the next call. It is 0 for calls that are due one by one.
func (p *Pacer) Delay(now time.Time) time.Duration {
	at := now
	if p.next.After(now) {
		at = p.next
	}
	p.next = at.Add(p.interval)
	return at.Sub(now)
}

package keyed

import "time"

// The first grant to an owner costs a connection, a call and a part of an entry of the log: grantWork of one core, by
// measurement on the platform's smallest control hosts.
const (
	grantWork        = 370 * time.Microsecond
	defaultProcessor = 0.24 // share of a core that is assumed if the settings don't tell it
)

// GrantInterval returns the least time between two grants of a leader with a share of a core.
func GrantInterval(processor float64) time.Duration {
	if processor <= 0 {
		processor = defaultProcessor
	}
	return time.Duration(float64(grantWork) / min(processor, 1))
}

// Pacer spreads calls to the owners of keys that are due in the same moment: all first calls of a leader's tenure, or
// those to the next owners after the loss of a zone. Without it, on a host with a part of a core, the messages of the
// log wait behind hundreds of calls until the leader has lost its lease. The next leader begins with the same calls.
type Pacer struct {
	interval time.Duration
	next     time.Time
}

// NewPacer returns a pacer that leaves at least an interval between two calls.
func NewPacer(interval time.Duration) *Pacer { return &Pacer{interval: interval} }

// Delay returns how long to wait before the next call. It is 0 for calls that are due one by one.
func (p *Pacer) Delay(now time.Time) time.Duration {
	at := now
	if p.next.After(now) {
		at = p.next
	}
	p.next = at.Add(p.interval)
	return at.Sub(now)
}

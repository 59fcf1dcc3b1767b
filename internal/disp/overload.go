package disp

import "time"

// Hysteresis of the overload detector. The estimated wait must exceed its limit for overloadStartDelay before a rank
// counts as overloaded, since a burst after the loss of an upstream is shorter and should be served late instead of
// refused. The wait must be within its limit for overloadEndDelay before the overload ends.
const (
	overloadStartDelay = 500 * time.Millisecond
	overloadEndDelay   = 2 * time.Second
)

// workMarginDivisor sets the part of the longest useful wait that is reserved for the work and for returning the
// response: the wait divided by this.
const workMarginDivisor = 4

// overloadDetector distinguishes an overload of a rank from a burst. In an overload, requests that would be late are
// refused, since a queue that stays long delays all requests and does not increase throughput.
type overloadDetector struct {
	active        bool
	changingSince time.Time // since when the wait contradicts active; zero while it does not
}

// update records whether the wait is too long now and reports whether the rank is overloaded.
func (o *overloadDetector) update(now time.Time, isTooLong bool) bool {
	if isTooLong == o.active {
		o.changingSince = time.Time{}
		return o.active
	}
	if o.changingSince.IsZero() {
		o.changingSince = now
	}
	delay := overloadStartDelay
	if o.active {
		delay = overloadEndDelay
	}
	if now.Sub(o.changingSince) > delay {
		o.active = !o.active
		o.changingSince = time.Time{}
	}
	return o.active
}

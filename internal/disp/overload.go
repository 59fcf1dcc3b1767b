package disp

import "time"

// Hysteresis of an overload: work must have waited too long for a while before a rank counts as
// overloaded, since a burst behind a loss is shorter and is served late; and it must have been in
// time for a while before the overload has ended.
const (
	overloadAfter = 500 * time.Millisecond
	overloadEnds  = 2 * time.Second
)

// waitMargin is the part of the longest useful wait that is left for the work and the way back.
const waitMargin = 4

// overload tells an overload from a burst. In an overload work that would be late is refused, since
// a queue that stays long makes all of it late and none of it more.
type overload struct {
	on      bool
	changed time.Time // since when the wait speaks against the present state, zero while it does not
}

// update takes in whether the wait is too long at present and reports whether the rank is overloaded.
func (o *overload) update(now time.Time, isLong bool) bool {
	if isLong == o.on {
		o.changed = time.Time{}
		return o.on
	}
	if o.changed.IsZero() {
		o.changed = now
	}
	patience := overloadAfter
	if o.on {
		patience = overloadEnds
	}
	if now.Sub(o.changed) > patience {
		o.on = !o.on
		o.changed = time.Time{}
	}
	return o.on
}

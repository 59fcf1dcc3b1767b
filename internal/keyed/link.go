package keyed

import "lovagelink.example/lovagelink/internal/realm"

// ConnFencing decides when the grants to one life of an upstream need new fences. Behind a connection that has ended another
// process may have the upstream's place, under the same id even. It must not take keys under a fence under which its
// predecessor has had them, so each fence is sent on one connection only.
type ConnFencing struct {
	used uint64 // no fence up to this one may be sent on another connection
	open bool   // a connection may be opened
}

// NewConnFencing returns the link of a leadership that began at a position of the log. Earlier leaders may have sent all fences
// up to there.
func NewConnFencing(began uint64) *ConnFencing { return &ConnFencing{used: began} }

// MayOpen reports whether a connection may be opened for the next grant.
func (l *ConnFencing) MayOpen() bool { return l.open }

// NeedsNewTokens is asked when there is no connection: it reports whether the ranges of the life need new fences first. If they
// don't, a connection may be opened from now on.
func (l *ConnFencing) NeedsNewTokens(ranges []realm.Range) bool {
	for _, one := range ranges {
		if one.FencingToken <= l.used {
			return true
		}
	}
	l.open = true
	return false
}

// RecordToken notes that a fence has been sent, or may have been.
func (l *ConnFencing) RecordToken(fence uint64) {
	l.used = max(l.used, fence)
	l.open = false
}

package keyed

import "lovagelink.example/lovagelink/internal/realm"

// ConnFencing decides when the grants to one instance of an upstream need new fencing tokens. After a connection has
// closed, another process may have the upstream's address, even under the same id. That process must not accept keys
// with a fencing token that its predecessor has used, so each token is sent on one connection only.
type ConnFencing struct {
	highestSent uint64 // tokens up to this one may not be sent on a new connection
	mayOpen     bool   // a new connection may be opened
}

// NewConnFencing returns the state for a tenure of a leader that started at the log index tenureIndex. Previous leaders
// may have sent any token up to that index.
func NewConnFencing(tenureIndex uint64) *ConnFencing { return &ConnFencing{highestSent: tenureIndex} }

// MayOpen reports whether a connection may be opened for the next grant.
func (f *ConnFencing) MayOpen() bool { return f.mayOpen }

// NeedsNewTokens reports, when there is no connection, whether the ranges of the instance need new fencing tokens
// before one may be opened. If they don't, MayOpen returns true until the next token is sent.
func (f *ConnFencing) NeedsNewTokens(ranges []realm.Range) bool {
	for _, r := range ranges {
		if r.FencingToken <= f.highestSent {
			return true
		}
	}
	f.mayOpen = true
	return false
}

// RecordToken records that a fencing token has been sent, or may have been.
func (f *ConnFencing) RecordToken(token uint64) {
	f.highestSent = max(f.highestSent, token)
	f.mayOpen = false
}

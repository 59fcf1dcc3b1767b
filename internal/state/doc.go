// Package state is the state machine of the control log: the accepted configuration, the hosts, the
// upstreams with their dispatchers, and the slot tables. Each aggregate keeps its own rules, and a
// command that rests on an outdated epoch changes nothing.
package state

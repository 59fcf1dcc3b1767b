// Package state is the state machine that the control log replicates: the accepted configuration, the hosts, the
// upstreams with their dispatchers, and the slot tables. A command whose expected epoch is outdated changes nothing.
package state

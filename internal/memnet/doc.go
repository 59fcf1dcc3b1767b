// Package memnet is a network in memory for tests: connections with a delay that can be cut, healed
// and made silent for good.
package memnet

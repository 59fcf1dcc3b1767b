// Package naive is the router that lovagelink is measured against: each host keeps its own list of
// upstreams, picks one by the hash of the key, sends directly within its own limits, first come first
// served, and tries again on every error.
package naive

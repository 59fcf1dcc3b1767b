// Package fleet lays out a whole deployment in one process: entry hosts, stand-in upstreams and their
// addresses, on any network.
package fleet

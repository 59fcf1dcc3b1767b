// Package fleet builds and runs a whole deployment in one process, on any network: entry hosts, simulated
// upstreams and the addresses of both.
package fleet

// Package upsim simulates an upstream: it announces itself, accepts grants with fencing epochs, runs a limited number
// of requests at a time, records each run in a ledger, and injects faults on request.
package upsim

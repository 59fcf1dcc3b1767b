// Package upsim is a stand-in upstream: it announces itself, takes fenced grants, works with a
// limited number of slots, keeps a ledger of what it has run, and can misbehave on request.
package upsim

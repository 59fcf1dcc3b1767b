// Package load generates an open-loop load, whose rate does not depend on responses, verifies every response, and
// compares the verdicts that callers received with the upstreams' ledgers.
package load

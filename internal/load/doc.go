// Package load drives callers at a rate that does not wait for answers, checks every answer, and
// compares what callers were told with what the upstreams' ledgers show.
package load

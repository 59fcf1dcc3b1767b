// Package entry implements the entry host: it forwards callers' requests to dispatchers, receives the
// announcements of upstreams, and serves operators.
package entry

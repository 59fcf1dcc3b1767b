// Package upapi is the protocol between lovagelink and upstreams: announcements of upstreams, grants of slots to them,
// and the headers of requests to them.
package upapi

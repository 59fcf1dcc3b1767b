package disp

import "sync/atomic"

// Stats counts what the dispatchers of a host do.
type Stats struct {
	Sent      atomic.Int64 // requests sent to upstreams
	Failed    atomic.Int64 // exchanges without a complete, matching response
	Crossed   atomic.Int64 // responses that belong to another request
	Refused   atomic.Int64 // requests refused because they would be late
	Joined    atomic.Int64 // requests that joined an earlier request with the same id
	Offloaded atomic.Int64 // attempts to offload a request to another upstream
}

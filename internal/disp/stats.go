package disp

import "sync/atomic"

// Stats counts what the dispatchers of a host do.
type Stats struct {
	Sent      atomic.Int64 // requests sent to upstreams
	Failed    atomic.Int64 // exchanges without a whole answer
	Crossed   atomic.Int64 // answers to another request
	Refused   atomic.Int64 // requests refused on arrival, since they would be late
	Joined    atomic.Int64 // resends that got the outcome of the first request
	Offloaded atomic.Int64 // requests that were offered to another upstream
}

// Package admit decides when a request goes to an upstream, when it waits, when it is refused, and which upstream of
// several it goes to. It does no input or output.
//
// It is designed for these situations: bursts of one kind of request beyond the capacity of the upstreams, one key with
// a large share of the requests, upstreams that are slow, shed requests or fail some of them, and callers that retry
// refused requests.
package admit

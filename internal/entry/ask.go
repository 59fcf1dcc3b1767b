package entry

import (
	"context"
	"sync"

	"lovagelink.example/lovagelink/internal/peer"
)

// hostReply is the reply or the error of a call to one host.
type hostReply[R any] struct {
	host  string
	value R
	err   error
}

// callAll calls a method on all other hosts concurrently.
func callAll[R any](ctx context.Context, h *Host, method string, args any) []hostReply[R] {
	return callHosts[R](ctx, h, h.endpoint.Hosts(), method, args)
}

// callHosts calls a method on the given hosts concurrently and returns their replies in the same order.
func callHosts[R any](ctx context.Context, h *Host, hosts []string, method string, args any) []hostReply[R] {
	replies := make([]hostReply[R], len(hosts))
	var group sync.WaitGroup
	for i, host := range hosts {
		group.Go(func() {
			value, err := peer.Call[R](ctx, h.endpoint, host, method, args)
			replies[i] = hostReply[R]{host, value, err}
		})
	}
	group.Wait()
	return replies
}

package entry

import (
	"context"
	"sync"

	"lovagelink.example/lovagelink/internal/peer"
)

// answer is what one host has said.
type answer[R any] struct {
	host  string
	value R
	err   error
}

// askAll calls all other hosts at once.
func askAll[R any](ctx context.Context, h *Host, method string, args any) []answer[R] {
	return ask[R](ctx, h, h.hub.Hosts(), method, args)
}

// ask calls some other hosts at once.
func ask[R any](ctx context.Context, h *Host, hosts []string, method string, args any) []answer[R] {
	answers := make([]answer[R], len(hosts))
	var group sync.WaitGroup
	for i, host := range hosts {
		group.Go(func() {
			value, err := peer.Call[R](ctx, h.hub, host, method, args)
			answers[i] = answer[R]{host, value, err}
		})
	}
	group.Wait()
	return answers
}

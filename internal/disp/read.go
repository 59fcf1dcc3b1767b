package disp

import (
	"context"
	"io"
)

// Limits of the responses that a host reads at the same time. A faulty upstream may send a body without end.
const (
	moderateBytes     = 1 << 20 // of a response, up to which any number of them is read at a time
	maxLargeResponses = 4       // responses beyond moderateBytes that are read at a time, from all upstreams
)

// readBody reads a response body up to one byte more than maxResponseBytes. Beyond moderateBytes it waits for its turn.
func readBody(ctx context.Context, body io.Reader, largeResponses chan struct{}) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, moderateBytes))
	if err != nil || len(data) < moderateBytes {
		return data, err
	}
	select {
	case largeResponses <- struct{}{}:
		defer func() { <-largeResponses }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	rest, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1-moderateBytes))
	return append(data, rest...), err
}

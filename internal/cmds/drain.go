package cmds

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Times for the requests in progress when a control host stops.
const (
	shutdownTimeout = 500 * time.Millisecond // until they are told to end
	responseTime    = 200 * time.Millisecond // for their responses after that
)

// newDrainable returns a server whose requests in progress end when the returned function is called.
func newDrainable(handler http.Handler) (*http.Server, context.CancelFunc) {
	base, endRequests := context.WithCancel(context.Background())
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, BaseContext: func(net.Listener) context.Context { return base },
	}, endRequests
}

// drain stops a server. Requests that don't end by themselves are told to, so that their callers get a response and turn
// to another host.
func drain(server *http.Server, endRequests context.CancelFunc) error {
	defer endRequests()
	err := shutdownWithin(server, shutdownTimeout)
	if errors.Is(err, context.DeadlineExceeded) {
		endRequests()
		err = shutdownWithin(server, responseTime)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return err
}

func shutdownWithin(server *http.Server, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return server.Shutdown(ctx)
}

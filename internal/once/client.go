package once

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Client sends each request at most once. The library's transport sends requests of some methods, and any
// without a body that has an Idempotency-Key, a second time when a connection in use fails.
type Client struct {
	http *http.Client
}

// New returns a client on a transport, whose DialContext must be set.
func New(transport *http.Transport) *Client {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw}, nil
	}
	return &Client{&http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends a request and returns the head of its answer. With an error, wasSent tells whether the other end
// may have got any of the request.
func (c *Client) Do(request *http.Request) (response *http.Response, wasSent bool, err error) {
	var used use
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used.begin(info.Conn) },
	})
	request = request.WithContext(ctx)
	forbidResend(request)
	response, err = c.http.Do(request)
	if err != nil {
		return nil, used.end(), err
	}
	return response, true, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (c *Client) CloseIdleConnections() {
	c.http.CloseIdleConnections()
}

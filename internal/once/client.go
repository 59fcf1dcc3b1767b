package once

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"lovagelink.example/lovagelink/internal/reply"
)

// Client sends each request at most once. The transport of net/http alone resends requests of some methods, and any
// request without a body that has an Idempotency-Key header, when a connection in use fails.
type Client struct {
	http *http.Client
}

// New returns a client that uses a transport. The transport's DialContext must be set; New wraps it.
func New(transport *http.Transport) *Client {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: reply.WithResets(raw)}, nil
	}
	return &Client{&http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends a request and returns the response, whose body is still to be read. An invalid response is an error. If err is
// not nil, wasSent reports whether the server may have received any part of the request.
func (c *Client) Do(request *http.Request) (response *http.Response, wasSent bool, err error) {
	var used connUse
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used.begin(info.Conn) },
	})
	request = request.WithContext(ctx)
	forbidResend(request)
	response, err = c.http.Do(request)
	if err != nil {
		return nil, used.end(), err
	}
	response.Body = &body{ReadCloser: response.Body, conn: used.conn}
	if err := reply.Check(response); err != nil {
		Retire(response)
		return nil, true, errors.Join(err, response.Body.Close())
	}
	return response, true, nil
}

// body is the body of a response, with the connection that it arrives on.
type body struct {
	io.ReadCloser
	conn      *conn
	isRetired bool
}

// Close ends reading, and closes a retired connection.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	if b.isRetired {
		err = errors.Join(err, b.conn.Close())
	}
	return err
}

// Retire makes the connection of a response of Do carry no further request. It is closed together with the body.
func Retire(response *http.Response) {
	if b, ok := response.Body.(*body); ok && b.conn != nil {
		b.conn.stopWriting()
		b.isRetired = true
	}
}

// CloseIdleConnections closes the pooled connections that carry no request at present.
func (c *Client) CloseIdleConnections() {
	c.http.CloseIdleConnections()
}

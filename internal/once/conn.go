package once

import (
	"net"
	"sync"
)

// conn counts what is written to a connection, and takes nothing more once it is sealed.
type conn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts before it writes, so that what may have been sent is never counted as not sent.
func (c *conn) Write(data []byte) (int, error) {
	if err := c.count(len(data)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

func (c *conn) count(length int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return net.ErrClosed
	}
	c.written += int64(length)
	return nil
}

// total returns how many bytes have been written.
func (c *conn) total() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal ends writing and returns how many bytes have been written.
func (c *conn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// use is one request's use of a connection.
type use struct {
	conn  *conn
	start int64 // bytes that earlier requests have written
}

func (u *use) begin(raw net.Conn) {
	if used, ok := raw.(*conn); ok {
		u.conn = used
		u.start = used.total()
	}
}

// end reports whether any of the request was written. Nothing more of it will be: the library's writer may
// still be at work behind a request that was cancelled.
func (u *use) end() bool {
	return u.conn != nil && u.conn.seal() > u.start
}

package once

import (
	"net"
	"sync"
)

// conn counts the bytes that are written to a connection. After stopWriting, Write fails.
type conn struct {
	net.Conn

	mu          sync.Mutex
	written     int64
	writeClosed bool
}

// Write counts the bytes before it writes them, so that bytes that may have been sent are never counted as not sent.
func (c *conn) Write(data []byte) (int, error) {
	if err := c.countWrite(len(data)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

func (c *conn) countWrite(length int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed {
		return net.ErrClosed
	}
	c.written += int64(length)
	return nil
}

// bytesWritten returns how many bytes have been written, or handed to Write.
func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// stopWriting makes later writes fail and returns how many bytes were written before.
func (c *conn) stopWriting() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeClosed = true
	return c.written
}

// connUse tracks the use of a connection by one request.
type connUse struct {
	conn   *conn
	before int64 // bytes that earlier requests have written to the connection
}

func (u *connUse) begin(raw net.Conn) {
	if counted, ok := raw.(*conn); ok {
		u.conn = counted
		u.before = counted.bytesWritten()
	}
}

// end stops writing on the connection and reports whether any part of the request was written. Writing must be stopped
// first, since the goroutine of net/http that writes a request may still run after the request was cancelled.
func (u *connUse) end() bool {
	return u.conn != nil && u.conn.stopWriting() > u.before
}

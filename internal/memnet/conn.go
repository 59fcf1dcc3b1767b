package memnet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// chunk is what one write has sent.
type chunk struct {
	data []byte
	due  time.Time
}

// half is one direction of a connection.
type half struct {
	net      *Net
	from, to Place

	mu       sync.Mutex
	chunks   []chunk
	changed  chan struct{}
	isClosed bool // by the writer
	isGone   bool // by the reader
	isSilent bool
	deadline time.Time
}

func newHalf(n *Net, from, to Place) *half {
	return &half{net: n, from: from, to: to, changed: make(chan struct{})}
}

// wake lets a waiting reader look again.
func (h *half) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wakeLocked()
}

func (h *half) wakeLocked() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *half) silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isSilent = true
	h.chunks = nil
}

func (h *half) write(data []byte) (int, error) {
	delay := h.net.delay(h.from, h.to)
	h.net.count(h.from.Name, len(data))
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.isClosed:
		return 0, net.ErrClosed
	case h.isGone:
		return 0, &net.OpError{Op: "write", Net: "mem", Err: io.ErrClosedPipe}
	case h.isSilent:
		return len(data), nil
	}
	h.chunks = append(h.chunks, chunk{data: append([]byte(nil), data...), due: time.Now().Add(delay)})
	h.wakeLocked()
	return len(data), nil
}

// read waits for the next bytes that have come through.
func (h *half) read(buf []byte) (int, error) {
	for {
		isCut := h.net.cutBetween(h.from, h.to)
		n, wait, changed, err := h.poll(time.Now(), buf, isCut)
		if n > 0 || err != nil {
			return n, err
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		}
		timer.Stop()
	}
}

// longWait stands for no time limit.
const longWait = 24 * time.Hour

// poll returns bytes that are due, or how long to wait for a change.
func (h *half) poll(now time.Time, buf []byte, isCut bool) (int, time.Duration, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wait := longWait
	if !h.deadline.IsZero() {
		if !now.Before(h.deadline) {
			return 0, 0, nil, os.ErrDeadlineExceeded
		}
		wait = h.deadline.Sub(now)
	}
	if h.isGone {
		return 0, 0, nil, net.ErrClosed
	}
	if len(h.chunks) > 0 && !isCut {
		first := &h.chunks[0]
		if now.Before(first.due) {
			return 0, min(wait, first.due.Sub(now)), h.changed, nil
		}
		n := copy(buf, first.data)
		if first.data = first.data[n:]; len(first.data) == 0 {
			h.chunks = h.chunks[1:]
		}
		return n, 0, nil, nil
	}
	if h.isClosed && !isCut && !h.isSilent {
		return 0, 0, nil, io.EOF
	}
	return 0, wait, h.changed, nil
}

// conn is one end of a connection.
type conn struct {
	net           *Net
	in, out       *half
	local, remote netip.AddrPort
}

func (c *conn) Read(buf []byte) (int, error)   { return c.in.read(buf) }
func (c *conn) Write(data []byte) (int, error) { return c.out.write(data) }

// Close ends both directions.
func (c *conn) Close() error {
	c.out.mu.Lock()
	c.out.isClosed = true
	c.out.wakeLocked()
	c.out.mu.Unlock()
	c.in.mu.Lock()
	c.in.isGone = true
	c.in.wakeLocked()
	c.in.mu.Unlock()
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(c.local) }
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline bounds reads; writes never wait.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline bounds reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.deadline = t
	c.in.wakeLocked()
	return nil
}

// SetWriteDeadline does nothing, since writes never wait.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

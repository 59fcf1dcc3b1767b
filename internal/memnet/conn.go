package memnet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"
)

// maxChunk is the largest chunk, so that bytes on a slow link arrive one after the other.
const maxChunk = 4 << 10

// chunk holds bytes of one write until the reader has read them.
type chunk struct {
	data []byte
	due  time.Time // when the bytes arrive
}

// stream is one direction of a connection.
type stream struct {
	net      *Net
	from, to Place

	mu             sync.Mutex
	chunks         []chunk
	changed        chan struct{}
	isWriterClosed bool
	isReaderClosed bool
	isBlackholed   bool
	deadline       time.Time
}

func newStream(n *Net, from, to Place) *stream {
	return &stream{net: n, from: from, to: to, changed: make(chan struct{})}
}

// wake makes a blocked reader check the state of the stream again.
func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeLocked()
}

func (s *stream) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) blackhole() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isBlackholed = true
	s.chunks = nil
}

func (s *stream) write(data []byte) (int, error) {
	delay := s.net.delay(s.from, s.to)
	s.net.countSent(s.from.Name, len(data))
	// Before the stream is locked, since Partition locks the network first and then its streams.
	chunks := s.split(time.Now(), data, delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isWriterClosed:
		return 0, net.ErrClosed
	case s.isReaderClosed:
		return 0, &net.OpError{Op: "write", Net: "mem", Err: io.ErrClosedPipe}
	case s.isBlackholed:
		return len(data), nil
	}
	s.chunks = append(s.chunks, chunks...)
	s.wakeLocked()
	return len(data), nil
}

// split returns the chunks of a write, with the times at which they arrive.
func (s *stream) split(now time.Time, data []byte, delay time.Duration) (chunks []chunk) {
	for part := range slices.Chunk(slices.Clone(data), maxChunk) {
		chunks = append(chunks, chunk{data: part, due: s.net.transmit(now, s.to, len(part)).Add(delay)})
	}
	return chunks
}

// read blocks until bytes have arrived, the stream has ended or the read deadline has passed.
func (s *stream) read(buf []byte) (int, error) {
	for {
		isPartitioned := s.net.isPartitioned(s.from, s.to)
		n, wait, changed, err := s.poll(time.Now(), buf, isPartitioned)
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

// waitWithoutDeadline bounds one wait of a reader that has no deadline; the reader then waits again.
const waitWithoutDeadline = 24 * time.Hour

// poll copies bytes that have arrived to buf. Without any, it returns how long to wait and a channel that is
// closed when the state of the stream changes.
func (s *stream) poll(now time.Time, buf []byte, isPartitioned bool) (int, time.Duration, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := waitWithoutDeadline
	if !s.deadline.IsZero() {
		if !now.Before(s.deadline) {
			return 0, 0, nil, os.ErrDeadlineExceeded
		}
		wait = s.deadline.Sub(now)
	}
	if s.isReaderClosed {
		return 0, 0, nil, net.ErrClosed
	}
	if len(s.chunks) > 0 && !isPartitioned {
		head := &s.chunks[0]
		if now.Before(head.due) {
			return 0, min(wait, head.due.Sub(now)), s.changed, nil
		}
		n := copy(buf, head.data)
		if head.data = head.data[n:]; len(head.data) == 0 {
			s.chunks = s.chunks[1:]
		}
		return n, 0, nil, nil
	}
	if s.isWriterClosed && !isPartitioned && !s.isBlackholed {
		return 0, 0, nil, io.EOF
	}
	return 0, wait, s.changed, nil
}

// conn is one end of a connection.
type conn struct {
	net           *Net
	in, out       *stream
	local, remote netip.AddrPort
}

func (c *conn) Read(buf []byte) (int, error)   { return c.in.read(buf) }
func (c *conn) Write(data []byte) (int, error) { return c.out.write(data) }

// Close closes both directions: the peer reads what was sent before and then io.EOF, and its writes fail.
func (c *conn) Close() error {
	c.out.mu.Lock()
	c.out.isWriterClosed = true
	c.out.wakeLocked()
	c.out.mu.Unlock()
	c.in.mu.Lock()
	c.in.isReaderClosed = true
	c.in.wakeLocked()
	c.in.mu.Unlock()
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(c.local) }
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline sets the read deadline; writes never block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the read deadline, also for a read that is blocked now.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.deadline = t
	c.in.wakeLocked()
	return nil
}

// SetWriteDeadline does nothing, since writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// link is the connection that this host opens to another one when it has something to say. It is
// pinged while calls wait, and closed when nobody has used it for a while.
type link struct {
	host    string
	address netip.AddrPort
	wanted  chan struct{}

	mu       sync.Mutex
	conn     *jsonrpc2.Conn
	changed  chan struct{}
	pending  int
	used     time.Time // when a call last began or ended
	heard    time.Time // when an answer last came
	failed   time.Time // when the other end last proved unreachable
	failures int
}

func newLink(host string, address netip.AddrPort) *link {
	return &link{
		host: host, address: address,
		wanted: make(chan struct{}, 1), changed: make(chan struct{}),
	}
}

func (l *link) current() *jsonrpc2.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

func (l *link) set(now time.Time, conn *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
	if conn != nil {
		l.heard = now
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// fail notes that the other end could not be reached.
func (l *link) fail(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = now
	l.failures++
	close(l.changed)
	l.changed = make(chan struct{})
}

// hasFailed reports whether the other end could not be reached lately.
func (l *link) hasFailed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn == nil && now.Sub(l.failed) < failureKept
}

// begin counts a call that waits for its answer.
func (l *link) begin(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending++
	l.used = now
}

// end counts a call as over; an answer is a sign of life.
func (l *link) end(now time.Time, isAnswered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending--
	l.used = now
	if isAnswered {
		l.heard = now
	}
}

// isQuiet reports whether calls wait and nothing has been heard for a while.
func (l *link) isQuiet(now time.Time, quiet time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending > 0 && now.Sub(l.heard) >= quiet
}

// isIdle reports whether nobody has used the link for a while.
func (l *link) isIdle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending == 0 && now.Sub(l.used) > idlePeriod
}

// await returns the open connection, or has one opened and waits until that has failed.
func (l *link) await(ctx context.Context) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	before := l.failures
	l.mu.Unlock()
	for {
		l.mu.Lock()
		conn, changed, failures := l.conn, l.changed, l.failures
		l.mu.Unlock()
		if conn != nil {
			return conn, nil
		}
		if failures != before {
			return nil, ErrNotConnected
		}
		select {
		case l.wanted <- struct{}{}:
		default:
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ErrNotConnected
		}
	}
}

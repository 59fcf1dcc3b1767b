package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// peerConn is the connection that this host opens to another host on demand. It is pinged while calls are pending, and
// closed when it has been idle for idleTimeout.
type peerConn struct {
	host          string
	address       netip.AddrPort
	dialRequested chan struct{}

	mu           sync.Mutex
	conn         *jsonrpc2.Conn
	changed      chan struct{}
	pending      int
	lastUsed     time.Time // when a call last started or ended
	received     int64     // bytes received on all connections to the host
	lastReceived time.Time // when bytes were last received, or the connection was opened
	lastFailure  time.Time // when the connection last broke or could not be opened
	failures     int
}

func newPeerConn(host string, address netip.AddrPort) *peerConn {
	return &peerConn{
		host: host, address: address,
		dialRequested: make(chan struct{}, 1), changed: make(chan struct{}),
	}
}

func (p *peerConn) current() *jsonrpc2.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

func (p *peerConn) setConn(now time.Time, conn *jsonrpc2.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = conn
	if conn != nil {
		p.lastReceived = now
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// recordFailure records that the connection broke or could not be opened.
func (p *peerConn) recordFailure(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFailure = now
	p.failures++
	close(p.changed)
	p.changed = make(chan struct{})
}

// hasFailedRecently reports whether the connection failed within failureTTL and has not been opened again.
func (p *peerConn) hasFailedRecently(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn == nil && now.Sub(p.lastFailure) < failureTTL
}

// beginCall records the start of a call.
func (p *peerConn) beginCall(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending++
	p.lastUsed = now
}

// endCall records the end of a call.
func (p *peerConn) endCall(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending--
	p.lastUsed = now
}

// recordReceived records that bytes have been received.
func (p *peerConn) recordReceived(now time.Time, bytes int) {
	if bytes == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += int64(bytes)
	p.lastReceived = now
}

// receivedBytes returns how many bytes have been received on all connections to the host.
func (p *peerConn) receivedBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received
}

// hasReceivedSince reports whether any bytes have been received after a time.
func (p *peerConn) hasReceivedSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastReceived.After(since)
}

// needsPing reports whether calls are pending and nothing has been received for the given delay.
func (p *peerConn) needsPing(now time.Time, delay time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pending > 0 && now.Sub(p.lastReceived) >= delay
}

// isIdle reports whether the connection has had no calls for idleTimeout.
func (p *peerConn) isIdle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pending == 0 && now.Sub(p.lastUsed) > idleTimeout
}

// awaitConn returns the open connection. If there is none, it requests a dial and waits for its outcome.
func (p *peerConn) awaitConn(ctx context.Context) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	failuresBefore := p.failures
	p.mu.Unlock()
	for {
		p.mu.Lock()
		conn, changed, failures := p.conn, p.changed, p.failures
		p.mu.Unlock()
		if conn != nil {
			return conn, nil
		}
		if failures != failuresBefore {
			return nil, ErrNotConnected
		}
		select {
		case p.dialRequested <- struct{}{}:
		default:
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ErrNotConnected
		}
	}
}

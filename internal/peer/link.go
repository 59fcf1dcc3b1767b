package peer

import (
	"context"
	"net/netip"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// link is the connection that this host has opened to another one.
type link struct {
	host    string
	address netip.AddrPort

	mu      sync.Mutex
	conn    *jsonrpc2.Conn
	changed chan struct{}
}

func newLink(host string, address netip.AddrPort) *link {
	return &link{host: host, address: address, changed: make(chan struct{})}
}

func (l *link) current() *jsonrpc2.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

func (l *link) set(conn *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
	close(l.changed)
	l.changed = make(chan struct{})
}

// await returns the open connection, or waits for one as long as ctx allows.
func (l *link) await(ctx context.Context) (*jsonrpc2.Conn, error) {
	for {
		l.mu.Lock()
		conn, changed := l.conn, l.changed
		l.mu.Unlock()
		if conn != nil {
			return conn, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ErrNoLink
		}
	}
}

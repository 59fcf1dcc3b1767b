package peer

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Network opens connections; tests put their own in its place.
type Network interface {
	Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Listen(address netip.AddrPort) (net.Listener, error)
}

// TCP is the network of the machine.
type TCP struct{}

// Probing of TCP connections: one whose other end no longer acknowledges ends after about 2 s.
const (
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
)

// Dial connects to an address.
func (TCP) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// Listen opens an address for connections.
func (TCP) Listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// DialHTTP returns the dial function for an HTTP transport on a network.
func DialHTTP(network Network) func(ctx context.Context, _, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		return network.Dial(ctx, to)
	}
}

// quietConn fails a read once the other end has been silent for too long. Something between the
// ends may have lost track of the connection without either end being told.
type quietConn struct {
	net.Conn
	silence time.Duration
}

func (c quietConn) Read(buf []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Read(buf)
}

func (c quietConn) Write(buf []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Write(buf)
}

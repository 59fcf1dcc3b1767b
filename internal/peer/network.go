package peer

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Network dials and accepts connections; tests replace it with a simulated network.
type Network interface {
	Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Listen(address netip.AddrPort) (net.Listener, error)
}

// TCP is the TCP network of the operating system.
type TCP struct{}

// Keep-alive probes of TCP connections: a connection whose other end acknowledges no probe is closed after about 2 s.
const (
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
)

// Dial connects to an address with keep-alive probes enabled.
func (TCP) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// Listen listens on an address.
func (TCP) Listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// DialHTTP returns the dial function for an HTTP transport on a network.
func DialHTTP(network Network) func(ctx context.Context, _, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		addrPort, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		return network.Dial(ctx, addrPort)
	}
}

// receivingConn reports the bytes that are read from a connection.
type receivingConn struct {
	net.Conn
	peer *peerConn
}

func (c receivingConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	c.peer.recordReceived(time.Now(), n)
	return n, err
}

// timeoutConn fails a read or a write that makes no progress for the timeout. A device between the two ends, such as a
// firewall, may have dropped the state of the connection without notice to either end.
type timeoutConn struct {
	net.Conn
	timeout time.Duration
}

func (c timeoutConn) Read(buf []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(buf)
}

func (c timeoutConn) Write(buf []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(buf)
}

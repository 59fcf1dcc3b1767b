package memnet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Place is one end of a connection.
type Place struct {
	Zone string
	Name string
}

// Net is a network in memory.
type Net struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	conns     map[*conn]struct{}
	isCut     func(from, to Place) bool
	delay     func(from, to Place) time.Duration
	port      uint16
	sent      map[string]int64 // bytes by owner
}

// New returns a network without cuts; delay gives the one-way delay between two places.
func New(delay func(from, to Place) time.Duration) *Net {
	return &Net{
		listeners: make(map[netip.AddrPort]*listener),
		conns:     make(map[*conn]struct{}),
		isCut:     func(Place, Place) bool { return false },
		delay:     delay,
		port:      1000,
		sent:      make(map[string]int64),
	}
}

// NextAddress hands out a new address.
func (n *Net) NextAddress() (netip.AddrPort, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.port++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), n.port), nil
}

// Partition holds up all that goes from one place to another where isCut says so, until the next call.
func (n *Net) Partition(isCut func(from, to Place) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isCut = isCut
	for c := range n.conns {
		c.in.wake()
	}
}

// Heal ends all cuts.
func (n *Net) Heal() {
	n.Partition(func(Place, Place) bool { return false })
}

// Blackhole makes the connections that are open between two places lose all that is sent, for good;
// new connections work.
func (n *Net) Blackhole(isHit func(from, to Place) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if isHit(c.in.from, c.in.to) {
			c.in.silence()
		}
	}
}

// BytesSent returns how many bytes an owner has sent.
func (n *Net) BytesSent(owner string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[owner]
}

func (n *Net) count(owner string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[owner] += int64(bytes)
}

func (n *Net) cutBetween(from, to Place) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isCut(from, to)
}

// At returns the network as one place sees it.
func (n *Net) At(zone, owner string) *Interface {
	return &Interface{net: n, place: Place{Zone: zone, Name: owner}}
}

// Interface is one place's access to the network.
type Interface struct {
	net   *Net
	place Place
}

var errRefused = errors.New("connection refused")

// Dial connects to a listener; through a cut it waits until ctx ends.
func (p *Interface) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	n := p.net
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: errRefused}
	}
	if n.cutBetween(p.place, l.place) || n.cutBetween(l.place, p.place) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: ctx.Err()}
	}
	time.Sleep(2 * n.delay(p.place, l.place))
	mine, theirs := n.pair(p.place, l.place, address)
	if !l.enqueue(theirs) {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: errRefused}
	}
	return mine, nil
}

func (n *Net) pair(dialer, owner Place, address netip.AddrPort) (*conn, *conn) {
	there := newHalf(n, dialer, owner)
	back := newHalf(n, owner, dialer)
	mine := &conn{net: n, in: back, out: there, local: address, remote: address}
	theirs := &conn{net: n, in: there, out: back, local: address, remote: address}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[mine] = struct{}{}
	n.conns[theirs] = struct{}{}
	return mine, theirs
}

// Listen opens an address.
func (p *Interface) Listen(address netip.AddrPort) (net.Listener, error) {
	n := p.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "mem", Err: errors.New("address already in use")}
	}
	l := &listener{
		net: n, place: p.place, address: address,
		queue: make(chan *conn, 128), closed: make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// listener is an open address.
type listener struct {
	net     *Net
	place   Place
	address netip.AddrPort
	queue   chan *conn
	once    sync.Once
	gate    sync.Mutex // held while a connection is queued or the address is given up
	closed  chan struct{}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close gives the address up.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.listeners, l.address)
		l.net.mu.Unlock()
		l.gate.Lock()
		close(l.closed)
		l.gate.Unlock()
		l.refuseQueued()
	})
	return nil
}

// refuseQueued closes the connections that nobody has accepted.
func (l *listener) refuseQueued() {
	for {
		select {
		case c := <-l.queue:
			_ = c.Close()
		default:
			return
		}
	}
}

// enqueue hands a connection to Accept; it reports false once the address is given up.
func (l *listener) enqueue(c *conn) bool {
	l.gate.Lock()
	defer l.gate.Unlock()
	select {
	case <-l.closed:
		return false
	default:
	}
	select {
	case l.queue <- c:
		return true
	default:
		return false
	}
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

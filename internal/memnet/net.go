package memnet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Place is an endpoint of connections: a named process in an availability zone.
type Place struct {
	Zone string
	Name string
}

// Net is an in-memory network.
type Net struct {
	mu          sync.Mutex
	listeners   map[netip.AddrPort]*listener
	conns       map[*conn]struct{}
	partitioned func(from, to Place) bool
	delay       func(from, to Place) time.Duration
	rate        func(to Place) int  // bytes per second that a place receives, 0 for no limit
	linkFreeAt  map[Place]time.Time // when the link to a place has carried all bytes sent so far
	lastPort    uint16
	sent        map[string]int64 // bytes written, by the name of the place
}

// New returns a network without partitions; delay returns the one-way delay between two places.
func New(delay func(from, to Place) time.Duration) *Net {
	return &Net{
		listeners:   make(map[netip.AddrPort]*listener),
		conns:       make(map[*conn]struct{}),
		partitioned: func(Place, Place) bool { return false },
		delay:       delay,
		rate:        func(Place) int { return 0 },
		linkFreeAt:  make(map[Place]time.Time),
		lastPort:    1000,
		sent:        make(map[string]int64),
	}
}

// NextAddress returns a loopback address that it has not returned before.
func (n *Net) NextAddress() (netip.AddrPort, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastPort++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), n.lastPort), nil
}

// Partition holds back data between places for which isPartitioned returns true, until the next call.
// Held data is delivered once the partition ends.
func (n *Net) Partition(isPartitioned func(from, to Place) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = isPartitioned
	for c := range n.conns {
		c.in.wake()
	}
}

// Heal ends all partitions.
func (n *Net) Heal() {
	n.Partition(func(Place, Place) bool { return false })
}

// Blackhole makes the connections that are open now drop all data in the directions for which isAffected
// returns true, until they are closed; new connections work.
func (n *Net) Blackhole(isAffected func(from, to Place) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if isAffected(c.in.from, c.in.to) {
			c.in.blackhole()
		}
	}
}

// SetRate sets how many bytes per second each place receives, over all its connections; 0 means no limit.
func (n *Net) SetRate(rate func(to Place) int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rate = rate
}

// transmit returns when bytes that are sent now have passed the link of the receiving place.
func (n *Net) transmit(now time.Time, to Place, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	rate := n.rate(to)
	if rate == 0 {
		return now
	}
	start := now
	if free := n.linkFreeAt[to]; free.After(now) {
		start = free
	}
	n.linkFreeAt[to] = start.Add(time.Duration(bytes) * time.Second / time.Duration(rate))
	return n.linkFreeAt[to]
}

// BytesSent returns how many bytes the places with a name have written.
func (n *Net) BytesSent(name string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[name]
}

func (n *Net) countSent(name string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[name] += int64(bytes)
}

func (n *Net) isPartitioned(from, to Place) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned(from, to)
}

// At returns the interface of a place to the network.
func (n *Net) At(zone, name string) *Interface {
	return &Interface{net: n, place: Place{Zone: zone, Name: name}}
}

// Interface dials and listens on the network on behalf of one place.
type Interface struct {
	net   *Net
	place Place
}

var errRefused = errors.New("connection refused")

// Dial connects to a listener; across a partition it blocks until ctx ends and then fails.
func (i *Interface) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	n := i.net
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: errRefused}
	}
	if n.isPartitioned(i.place, l.place) || n.isPartitioned(l.place, i.place) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: ctx.Err()}
	}
	time.Sleep(2 * n.delay(i.place, l.place))
	dialed, accepted := n.newConnPair(i.place, l.place, address)
	if !l.enqueue(accepted) {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: errRefused}
	}
	return dialed, nil
}

func (n *Net) newConnPair(dialer, acceptor Place, address netip.AddrPort) (*conn, *conn) {
	toAcceptor := newStream(n, dialer, acceptor)
	toDialer := newStream(n, acceptor, dialer)
	dialed := &conn{net: n, in: toDialer, out: toAcceptor, local: address, remote: address}
	accepted := &conn{net: n, in: toAcceptor, out: toDialer, local: address, remote: address}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[dialed] = struct{}{}
	n.conns[accepted] = struct{}{}
	return dialed, accepted
}

// Listen listens on an address.
func (i *Interface) Listen(address netip.AddrPort) (net.Listener, error) {
	n := i.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "mem", Err: errors.New("address already in use")}
	}
	l := &listener{
		net: n, place: i.place, address: address,
		queue: make(chan *conn, 128), closed: make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// listener accepts connections on an address.
type listener struct {
	net     *Net
	place   Place
	address netip.AddrPort
	queue   chan *conn
	once    sync.Once
	queueMu sync.Mutex // held while a connection is queued and while the listener closes
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

// Close releases the address and closes the connections that were not accepted.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.listeners, l.address)
		l.net.mu.Unlock()
		l.queueMu.Lock()
		close(l.closed)
		l.queueMu.Unlock()
		l.closeQueued()
	})
	return nil
}

// closeQueued closes the connections that were queued but not accepted.
func (l *listener) closeQueued() {
	for {
		select {
		case c := <-l.queue:
			_ = c.Close()
		default:
			return
		}
	}
}

// enqueue queues a connection for Accept; it reports false if the listener is closed or its queue is full.
func (l *listener) enqueue(c *conn) bool {
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
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

// Addr returns the address that the listener listens on.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

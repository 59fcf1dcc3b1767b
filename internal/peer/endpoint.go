package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gopkg.in/tomb.v2"
)

// Intervals and timeouts of connections between hosts.
const (
	pingInterval = 200 * time.Millisecond
	// checksPerDelay is how often within a longer ping delay a connection is checked: each check wakes the process.
	checksPerDelay = 3
	pingTimeout    = 400 * time.Millisecond
	ioTimeout      = 30 * time.Second // of one read or write; also ends incoming connections without traffic
	idleTimeout    = 10 * time.Second // time without calls after which a connection is closed
	dialTimeout    = 400 * time.Millisecond
	redialDelay    = 50 * time.Millisecond
	failureTTL     = time.Second // how long a host counts as unreachable after a failure
)

// The errors of calls that could not be sent.
var (
	ErrUnknownHost  = errors.New("no such host")
	ErrNotConnected = errors.New("no link to the host")
)

// Handler handles the calls of one method; from is the name of the calling host.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Endpoint is this host's end of the RPC connections to all other hosts.
type Endpoint struct {
	name      string
	network   Network
	address   netip.AddrPort
	handlers  map[string]Handler
	dynamic   bool          // hosts are named by their addresses and need not be listed in advance
	pingDelay time.Duration // time without a response after which a connection with pending calls is pinged
	tomb      tomb.Tomb

	mu       sync.Mutex
	conns    map[string]*peerConn
	incoming map[*jsonrpc2.Conn]struct{}
}

// New returns an endpoint for the hosts in addresses; handlers must be added before Start.
func New(network Network, name string, addresses map[string]netip.AddrPort) *Endpoint {
	e := &Endpoint{
		name:      name,
		network:   network,
		address:   addresses[name],
		handlers:  make(map[string]Handler),
		pingDelay: pingInterval,
		conns:     make(map[string]*peerConn),
		incoming:  make(map[*jsonrpc2.Conn]struct{}),
	}
	for other, address := range addresses {
		if other != name {
			e.conns[other] = newPeerConn(other, address)
		}
	}
	e.Handle("ping", func(context.Context, string, json.RawMessage) (any, error) { return true, nil })
	return e
}

// NewDynamic returns an endpoint for hosts that are named by their addresses, which need not be listed in advance. With
// an invalid address, this host does not listen for connections.
func NewDynamic(network Network, name string, address netip.AddrPort) *Endpoint {
	e := New(network, name, map[string]netip.AddrPort{name: address})
	e.dynamic = true
	return e
}

// SetPingDelay sets the time without a response after which a connection with pending calls is pinged. Calls that wait
// for a change of the state take up to a second by design, and need no pings in between.
func (e *Endpoint) SetPingDelay(delay time.Duration) { e.pingDelay = delay }

// Handle sets the handler of a method.
func (e *Endpoint) Handle(method string, handler Handler) {
	e.handlers[method] = handler
}

// HandleTyped sets the handler of a method with typed parameters and a typed result.
func HandleTyped[A, R any](e *Endpoint, method string, handle func(ctx context.Context, from string, args A) (R, error)) {
	e.Handle(method, func(ctx context.Context, from string, params json.RawMessage) (any, error) {
		var args A
		if err := json.Unmarshal(params, &args); err != nil {
			return nil, err
		}
		return handle(ctx, from, args)
	})
}

// Start listens for connections from other hosts, and starts to maintain the connections to them, which are dialed on
// demand.
func (e *Endpoint) Start() error {
	if e.address.IsValid() {
		listener, err := e.network.Listen(e.address)
		if err != nil {
			return err
		}
		e.tomb.Go(func() error { return e.serve(listener) })
		e.tomb.Go(func() error {
			<-e.tomb.Dying()
			return listener.Close()
		})
	} else {
		e.tomb.Go(func() error {
			<-e.tomb.Dying()
			return nil
		})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.conns {
		e.tomb.Go(func() error { return e.maintain(p) })
	}
	return nil
}

// connTo returns the connection to a host, or nil if the host is unknown or its name is not a valid address.
func (e *Endpoint) connTo(host string) *peerConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.conns[host]
	if p != nil || !e.dynamic || !e.tomb.Alive() {
		return p
	}
	address, err := netip.ParseAddrPort(host)
	if err != nil {
		return nil
	}
	p = newPeerConn(host, address)
	e.conns[host] = p
	e.tomb.Go(func() error { return e.maintain(p) })
	return p
}

// Stop closes all connections.
func (e *Endpoint) Stop() {
	e.tomb.Kill(nil)
	e.mu.Lock()
	for conn := range e.incoming {
		go conn.Close()
	}
	e.mu.Unlock()
	_ = e.tomb.Wait()
}

// Call calls a method on a host and waits for the result. A call to this host itself uses no connection.
func Call[R any](ctx context.Context, e *Endpoint, host, method string, params any) (R, error) {
	var result R
	if host == e.name {
		return callLocal[R](ctx, e, method, params)
	}
	p := e.connTo(host)
	if p == nil {
		return result, ErrUnknownHost
	}
	p.beginCall(time.Now())
	err := p.call(ctx, method, envelope{From: e.name, Body: params}, &result)
	p.endCall(time.Now())
	return result, err
}

// minReceivedBytes is how many bytes must arrive within the timeout of CallWhileReceiving for the call to go on. The
// responses to pings and to small calls on the same connection stay below it.
const minReceivedBytes = 2 << 10

// CallWhileReceiving is like Call with a timeout that begins again as long as a large response arrives, however long the
// whole of it takes.
func CallWhileReceiving[R any](ctx context.Context, e *Endpoint, host, method string, params any, timeout time.Duration) (R, error) {
	if host == e.name {
		return Call[R](ctx, e, host, method, params)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		ticker := time.NewTicker(timeout)
		defer ticker.Stop()
		for received := e.Received(host); ; {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			before := received
			if received = e.Received(host); received-before < minReceivedBytes {
				cancel(context.DeadlineExceeded)
				return
			}
		}
	}()
	result, err := Call[R](ctx, e, host, method, params)
	if err != nil && context.Cause(ctx) != nil {
		err = context.Cause(ctx)
	}
	return result, err
}

// isRemoteError reports whether an error was returned by the called host.
func isRemoteError(err error) bool {
	var remoteError *jsonrpc2.Error
	return errors.As(err, &remoteError)
}

func callLocal[R any](ctx context.Context, e *Endpoint, method string, params any) (R, error) {
	var zero R
	data, err := json.Marshal(params)
	if err != nil {
		return zero, err
	}
	result, err := e.handlers[method](ctx, e.name, data)
	if err != nil {
		return zero, err
	}
	typed, ok := result.(R)
	if !ok {
		return zero, errors.New("answer of another type than asked for")
	}
	return typed, nil
}

// Notify calls a method on another host over an open connection without waiting for a response.
func (e *Endpoint) Notify(ctx context.Context, host, method string, params any) error {
	p := e.connTo(host)
	if p == nil {
		return ErrUnknownHost
	}
	conn := p.current()
	if conn == nil {
		return ErrNotConnected
	}
	return conn.Notify(ctx, method, envelope{From: e.name, Body: params})
}

// Hosts returns the names of all other hosts.
func (e *Endpoint) Hosts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var names []string
	for name := range e.conns {
		names = append(names, name)
	}
	return names
}

// CanReach reports whether a host is known and may be reachable: it is assumed reachable unless a connection to it
// failed recently and has not been opened again.
func (e *Endpoint) CanReach(now time.Time, host string) bool {
	p := e.connTo(host)
	return p != nil && !p.hasFailedRecently(now)
}

// Received returns how many bytes this host has received on the connections that it has opened to another host.
func (e *Endpoint) Received(host string) int64 {
	p := e.connTo(host)
	if p == nil {
		return 0
	}
	return p.receivedBytes()
}

// call sends a call over the connection, and closes the connection if sending or receiving failed. Nothing else may
// show that the connection is broken, since the other host need not send anything on it.
func (p *peerConn) call(ctx context.Context, method string, params, result any) error {
	conn, err := p.awaitConn(ctx)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	if err != nil && ctx.Err() == nil && !isRemoteError(err) {
		_ = conn.Close()
	}
	return err
}

// envelope adds the name of the calling host to the parameters.
type envelope struct {
	From string `json:"from"`
	Body any    `json:"body"`
}

// serve accepts connections from other hosts.
func (e *Endpoint) serve(listener net.Listener) error {
	for {
		netConn, err := listener.Accept()
		if err != nil {
			if !e.tomb.Alive() {
				return nil
			}
			return err
		}
		conn := e.attach(netConn)
		e.mu.Lock()
		e.incoming[conn] = struct{}{}
		e.mu.Unlock()
		e.tomb.Go(func() error {
			select {
			case <-conn.DisconnectNotify():
			case <-e.tomb.Dying():
				conn.Close()
			}
			e.mu.Lock()
			delete(e.incoming, conn)
			e.mu.Unlock()
			return nil
		})
	}
}

func (e *Endpoint) attach(conn net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(timeoutConn{conn, ioTimeout}, jsonrpc2.VarintObjectCodec{})
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(e.handleRequest).SuppressErrClosed())
	logger := jsonrpc2.SetLogger(discardLogger{})
	return jsonrpc2.NewConn(e.tomb.Context(context.Background()), stream, handler, logger)
}

func (e *Endpoint) handleRequest(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	handler := e.handlers[request.Method]
	if handler == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: request.Method}
	}
	var body struct {
		From string          `json:"from"`
		Body json.RawMessage `json:"body"`
	}
	if request.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*request.Params, &body); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return handler(ctx, body.From, body.Body)
}

// discardLogger discards the library's log lines; peerConn records broken connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

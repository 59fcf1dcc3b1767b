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

// Periods of a link.
const (
	pingPeriod  = 200 * time.Millisecond
	pingTimeout = 400 * time.Millisecond
	maxSilence  = 30 * time.Second // of a connection that another host has opened
	idlePeriod  = 10 * time.Second // after which a link that nobody uses is closed
	dialTimeout = 400 * time.Millisecond
	redialPause = 50 * time.Millisecond
	failureKept = time.Second // how long a host counts as unreachable
)

// The errors of a call that got no answer.
var (
	ErrUnknownHost  = errors.New("no such host")
	ErrNotConnected = errors.New("no link to the host")
)

// Handler answers one method; from is the name of the calling host.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Endpoint holds this host's links to all others.
type Endpoint struct {
	name     string
	network  Network
	address  netip.AddrPort
	handlers map[string]Handler
	open     bool          // names are addresses, and hosts become known as they are called
	quiet    time.Duration // after which a link on which calls wait is pinged
	tomb     tomb.Tomb

	mu       sync.Mutex
	links    map[string]*link
	incoming map[*jsonrpc2.Conn]struct{}
}

// New returns a hub that knows the addresses of the hosts; the handlers are added before Start.
func New(network Network, name string, addresses map[string]netip.AddrPort) *Endpoint {
	h := &Endpoint{
		name:     name,
		network:  network,
		address:  addresses[name],
		handlers: make(map[string]Handler),
		quiet:    pingPeriod,
		links:    make(map[string]*link),
		incoming: make(map[*jsonrpc2.Conn]struct{}),
	}
	for other, address := range addresses {
		if other != name {
			h.links[other] = newLink(other, address)
		}
	}
	h.Handle("ping", func(context.Context, string, json.RawMessage) (any, error) { return true, nil })
	return h
}

// NewDynamic returns a hub of hosts that are named by their addresses, and that become known as they are called.
// An address that is not valid is one on which this host does not listen.
func NewDynamic(network Network, name string, address netip.AddrPort) *Endpoint {
	h := New(network, name, map[string]netip.AddrPort{name: address})
	h.open = true
	return h
}

// SetPingDelay sets how long a link on which calls wait is silent before it is pinged. Those whose calls wait for news for
// a second by design need no pings in between.
func (h *Endpoint) SetPingDelay(quiet time.Duration) { h.quiet = quiet }

// Handle sets the handler of a method.
func (h *Endpoint) Handle(method string, handler Handler) {
	h.handlers[method] = handler
}

// HandleTyped sets a handler with typed parameters and a typed answer.
func HandleTyped[A, R any](h *Endpoint, method string, handle func(ctx context.Context, from string, args A) (R, error)) {
	h.Handle(method, func(ctx context.Context, from string, params json.RawMessage) (any, error) {
		var args A
		if err := json.Unmarshal(params, &args); err != nil {
			return nil, err
		}
		return handle(ctx, from, args)
	})
}

// Start listens for other hosts and dials them.
func (h *Endpoint) Start() error {
	if h.address.IsValid() {
		listener, err := h.network.Listen(h.address)
		if err != nil {
			return err
		}
		h.tomb.Go(func() error { return h.serve(listener) })
		h.tomb.Go(func() error {
			<-h.tomb.Dying()
			return listener.Close()
		})
	} else {
		h.tomb.Go(func() error {
			<-h.tomb.Dying()
			return nil
		})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.links {
		h.tomb.Go(func() error { return h.keep(l) })
	}
	return nil
}

// link returns the link to a host, or nil if no such host can exist.
func (h *Endpoint) link(host string) *link {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.links[host]
	if l != nil || !h.open || !h.tomb.Alive() {
		return l
	}
	address, err := netip.ParseAddrPort(host)
	if err != nil {
		return nil
	}
	l = newLink(host, address)
	h.links[host] = l
	h.tomb.Go(func() error { return h.keep(l) })
	return l
}

// Stop closes all links.
func (h *Endpoint) Stop() {
	h.tomb.Kill(nil)
	h.mu.Lock()
	for conn := range h.incoming {
		go conn.Close()
	}
	h.mu.Unlock()
	_ = h.tomb.Wait()
}

// Call asks another host and waits for its answer; a call to this host itself takes no link.
func Call[R any](ctx context.Context, h *Endpoint, host, method string, params any) (R, error) {
	var answer R
	if host == h.name {
		return callSelf[R](ctx, h, method, params)
	}
	l := h.link(host)
	if l == nil {
		return answer, ErrUnknownHost
	}
	l.begin(time.Now())
	err := l.call(ctx, method, envelope{From: h.name, Body: params}, &answer)
	l.end(time.Now(), err == nil || isRefusal(err))
	return answer, err
}

// isRefusal reports whether an error is an answer of the other end.
func isRefusal(err error) bool {
	var refusal *jsonrpc2.Error
	return errors.As(err, &refusal)
}

func callSelf[R any](ctx context.Context, h *Endpoint, method string, params any) (R, error) {
	var answer R
	data, err := json.Marshal(params)
	if err != nil {
		return answer, err
	}
	result, err := h.handlers[method](ctx, h.name, data)
	if err != nil {
		return answer, err
	}
	typed, ok := result.(R)
	if !ok {
		return answer, errors.New("answer of another type than asked for")
	}
	return typed, nil
}

// Notify tells another host something over an open link without waiting for an answer.
func (h *Endpoint) Notify(ctx context.Context, host, method string, params any) error {
	l := h.link(host)
	if l == nil {
		return ErrUnknownHost
	}
	conn := l.current()
	if conn == nil {
		return ErrNotConnected
	}
	return conn.Notify(ctx, method, envelope{From: h.name, Body: params})
}

// Hosts returns the names of all other hosts.
func (h *Endpoint) Hosts() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for name := range h.links {
		names = append(names, name)
	}
	return names
}

// CanReach reports whether a host may be reachable: all are but those that proved not to be lately.
func (h *Endpoint) CanReach(now time.Time, host string) bool {
	l := h.link(host)
	return l != nil && !l.hasFailed(now)
}

// call sends a call over the link. A connection that takes no call is closed, since nothing need come
// in on it that would show that it has broken.
func (l *link) call(ctx context.Context, method string, params, answer any) error {
	conn, err := l.await(ctx)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, answer)
	if err != nil && ctx.Err() == nil && !isRefusal(err) {
		_ = conn.Close()
	}
	return err
}

// envelope names the caller beside the parameters.
type envelope struct {
	From string `json:"from"`
	Body any    `json:"body"`
}

// serve takes connections of other hosts.
func (h *Endpoint) serve(listener net.Listener) error {
	for {
		raw, err := listener.Accept()
		if err != nil {
			if !h.tomb.Alive() {
				return nil
			}
			return err
		}
		conn := h.attach(raw)
		h.mu.Lock()
		h.incoming[conn] = struct{}{}
		h.mu.Unlock()
		h.tomb.Go(func() error {
			select {
			case <-conn.DisconnectNotify():
			case <-h.tomb.Dying():
				conn.Close()
			}
			h.mu.Lock()
			delete(h.incoming, conn)
			h.mu.Unlock()
			return nil
		})
	}
}

func (h *Endpoint) attach(raw net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(quietConn{raw, maxSilence}, jsonrpc2.VarintObjectCodec{})
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(h.answer).SuppressErrClosed())
	quiet := jsonrpc2.SetLogger(silentLogger{})
	return jsonrpc2.NewConn(h.tomb.Context(context.Background()), stream, handler, quiet)
}

func (h *Endpoint) answer(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	handler := h.handlers[request.Method]
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

// silentLogger drops the library's lines; counters tell of broken links.
type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}

package disp

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/memnet"
	"lovagelink.example/lovagelink/pkg/verd"
)

// droppingUpstream is an upstream that closes each connection at its second request without a response. If isLost is
// set, it accepts no connections from then on.
type droppingUpstream struct {
	listener net.Listener
	isLost   bool
	received atomic.Int64
}

func (u *droppingUpstream) serve() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.handle(conn)
	}
}

func (u *droppingUpstream) handle(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for isFirst := true; ; isFirst = false {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		u.received.Add(1)
		if !isFirst {
			if u.isLost {
				_ = u.listener.Close()
			}
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nLovagelink-Verdict: ran\r\n\r\n"))
	}
}

// A request that an upstream has read is sent only once, and is never reported as "not run" because a later connection
// was refused. net/http by itself resends requests of some methods, and requests without a body that have an
// Idempotency-Key.
func TestRequestIsSentOnce(t *testing.T) {
	withKey := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
	for _, test := range []struct {
		name   string
		r      Request
		isLost bool
	}{
		{"view", Request{Method: http.MethodGet, Idempotent: true}, true},
		{"exclusive-get", Request{Method: http.MethodGet}, false},
		{"exclusive-head", Request{Method: http.MethodHead}, false},
		{"exclusive-options", Request{Method: http.MethodOptions}, false},
		{"empty-post-with-key", Request{Method: http.MethodPost, Header: withKey}, false},
		{"empty-post", Request{Method: http.MethodPost}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d, u := newWithDroppingUpstream(t, test.isLost)
				test.r.Path = "/plan/wall"
				is.Equal(d.sendForTest(t, test.r).Verdict, verd.Ran)
				is.Equal(d.sendForTest(t, test.r).Verdict, verd.MayHaveRun)
				is.Equal(u.received.Load(), int64(2))
				if test.isLost {
					is.Equal(d.sendForTest(t, test.r).Verdict, verd.NotRun)
				}
			})
		})
	}
}

// serveRefusingTwice serves an upstream that refuses the first request on each connection. It runs the second one and
// writes the refusal once more in place of an answer.
func serveRefusingTwice(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = conn.Write([]byte("HTTP/1.1 503 Full\r\nContent-Length: 0\r\nRequest-Id: r\r\nLovagelink-Verdict: not-run\r\n\r\n"))
			}
		}()
	}
}

// No request is sent on a connection on which one was refused: a refusal that the upstream writes once more would say
// of the second request that it has not run.
func TestRefusalWrittenOnceMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(func(_, _ memnet.Place) time.Duration { return time.Millisecond })
		address, err := network.NextAddress()
		is.NoErr(err)
		listener, err := network.At("a", "u").Listen(address)
		is.NoErr(err)
		counted := &countingListener{Listener: listener}
		go serveRefusingTwice(counted)
		d := newDispatcherOn(network)
		d.upstream.Address = address
		defer d.client.CloseIdleConnections()
		defer listener.Close()
		for i := range 5 {
			is.Equal(d.sendForTest(t, Request{ID: "r", Method: http.MethodPost, Path: "/plan/wall"}).Verdict, verd.NotRun)
			is.Equal(counted.accepted.Load(), int64(i+1))
		}
	})
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

// newWithDroppingUpstream returns a dispatcher and its upstream, which drops connections.
func newWithDroppingUpstream(t *testing.T, isLost bool) (*Dispatcher, *droppingUpstream) {
	network := memnet.New(func(_, _ memnet.Place) time.Duration { return time.Millisecond })
	address, _ := network.NextAddress()
	listener, err := network.At("a", "u").Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	u := &droppingUpstream{listener: listener, isLost: isLost}
	go u.serve()
	d := newDispatcherOn(network)
	d.upstream.Address = address
	t.Cleanup(func() {
		_ = listener.Close()
		d.client.CloseIdleConnections()
	})
	return d, u
}

// sendForTest builds and sends a request as a dispatcher does.
func (d *Dispatcher) sendForTest(t *testing.T, r Request) Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return d.send(ctx, newOwnedSlot(time.Now(), 1, 1), r, time.Time{})
}

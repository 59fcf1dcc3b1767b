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

// losing is an upstream that reads requests and drops every connection at its second request without an
// answer; one that is lost takes no connection from then on.
type losing struct {
	listener net.Listener
	isLost   bool
	seen     atomic.Int64
}

func (u *losing) serve() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.answer(conn)
	}
}

func (u *losing) answer(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for isFirst := true; ; isFirst = false {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		u.seen.Add(1)
		if !isFirst {
			if u.isLost {
				_ = u.listener.Close()
			}
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nLovagelink-Verdict: ran\r\n\r\n"))
	}
}

// A request that an upstream has read is sent once only, and never called "not run" because a later
// connection was refused. The library sends requests of some methods again by itself, and any without a
// body that has an Idempotency-Key.
func TestRequestIsSentOnce(t *testing.T) {
	withKey := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
	for _, one := range []struct {
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
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d, u := withLosing(t, one.isLost)
				one.r.Path = "/plan/wall"
				is.Equal(d.post(t, one.r).Verdict, verd.Ran)
				is.Equal(d.post(t, one.r).Verdict, verd.MayHaveRun)
				is.Equal(u.seen.Load(), int64(2))
				if one.isLost {
					is.Equal(d.post(t, one.r).Verdict, verd.NotRun)
				}
			})
		})
	}
}

// withLosing returns a dispatcher whose upstream drops connections.
func withLosing(t *testing.T, isLost bool) (*Dispatcher, *losing) {
	network := memnet.New(func(_, _ memnet.Place) time.Duration { return time.Millisecond })
	address, _ := network.NextAddress()
	listener, err := network.At("a", "u").Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	u := &losing{listener: listener, isLost: isLost}
	go u.serve()
	d := newDispatcherOn(network)
	d.upstream.Address = address
	t.Cleanup(func() {
		_ = listener.Close()
		d.client.CloseIdleConnections()
	})
	return d, u
}

// post builds and sends a request as a dispatcher does.
func (d *Dispatcher) post(t *testing.T, r Request) Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return d.send(ctx, newShare(time.Now(), 1, 1), r, time.Time{})
}

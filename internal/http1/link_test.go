package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// upstream serves connections with a script.
func upstream(t *testing.T, script func(conn net.Conn, r *bufio.Reader)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func open(t *testing.T, address netip.AddrPort) *ClientConn {
	t.Helper()
	link, err := Dial(context.Background(), time.Now(), address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	return link
}

// A request is sent once: a connection that ends without an answer is an error, and nothing is sent again.
func TestRequestIsSentOnce(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 10)
	address := upstream(t, func(_ net.Conn, r *bufio.Reader) {
		line, _ := r.ReadString('\n')
		seen <- line
	})
	link := open(t, address)
	is.NoErr(link.Send(Outgoing{Method: "GET", Target: "/x", Host: "a", Header: http.Header{}}))
	_, err := link.Receive("GET")
	is.True(err != nil)
	is.Equal(<-seen, "GET /x HTTP/1.1\r\n")
	is.Equal(len(seen), 0)
}

// A connection on which bytes wait, or that the upstream has closed, or that has rested too long, carries no request.
func TestUnsoundConnections(t *testing.T) {
	is := is.New(t)
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\n\r\n"
	closes := make(chan bool, 3)
	address := upstream(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		if <-closes {
			return
		}
		_, _ = io.WriteString(conn, "late")
		_, _ = r.ReadByte()
	})
	for _, closing := range []bool{true, false} {
		link := open(t, address)
		is.NoErr(link.Send(Outgoing{Method: "GET", Target: "/", Host: "a", Header: http.Header{}}))
		got, err := link.Receive("GET")
		is.NoErr(err)
		is.True(link.MarkIdle(time.Now(), got))
		is.True(link.IsReusable(time.Now(), time.Minute))
		is.True(!link.IsReusable(time.Now().Add(4500*time.Millisecond), time.Minute)) // the upstream closes after 5 s
		closes <- closing
		for link.IsReusable(time.Now(), time.Minute) {
			time.Sleep(time.Millisecond)
		}
	}
}

// An upstream that answers before it has read a long body keeps the rest of it due: the connection is not used again.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	address := upstream(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Hour)
	})
	link := open(t, address)
	body := []byte(strings.Repeat("x", 32<<20)) // more than the buffers on the way hold
	is.NoErr(link.Send(Outgoing{Method: "POST", Target: "/", Host: "a", Header: http.Header{}, Body: body}))
	answer, err := link.Receive("POST")
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusRequestEntityTooLarge)
	is.True(!link.MarkIdle(time.Now(), answer))
}

// A body that ends early is an error, with a length and with chunks; one that ends with its connection is whole.
func TestBodies(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		whole  bool
	}{
		"length":        {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", true},
		"cut length":    {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", false},
		"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true},
		"cut chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false},
		"until it ends": {"HTTP/1.1 200 OK\r\n\r\nabc", true},
		"interim":       {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := upstream(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(conn, c.answer)
				}
			})
			link := open(t, address)
			is.NoErr(link.Send(Outgoing{Method: "GET", Target: "/", Host: "a", Header: http.Header{}}))
			answer, err := link.Receive("GET")
			is.NoErr(err)
			body, _, err := ReadBody(answer, 1<<10)
			is.Equal(err == nil, c.whole)
			is.Equal(string(body), "abc")
		})
	}
}

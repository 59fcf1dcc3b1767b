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

// upstream starts a server that runs a script on each connection.
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

func connect(t *testing.T, address netip.AddrPort) *ClientConn {
	t.Helper()
	client, err := Dial(context.Background(), time.Now(), address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// A request is sent once: if the connection ends without a response, Receive fails and the request is not resent.
func TestRequestIsSentOnce(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 10)
	address := upstream(t, func(_ net.Conn, r *bufio.Reader) {
		line, _ := r.ReadString('\n')
		seen <- line
	})
	client := connect(t, address)
	is.NoErr(client.Send(Outgoing{Method: "GET", Target: "/x", Host: "a", Header: http.Header{}}))
	_, err := client.Receive("GET")
	is.True(err != nil)
	is.Equal(<-seen, "GET /x HTTP/1.1\r\n")
	is.Equal(len(seen), 0)
}

// A connection is not reused if it has unread bytes, if the upstream has closed it, or if it has been idle for too
// long.
func TestUnsoundConnections(t *testing.T) {
	is := is.New(t)
	const responseText = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\n\r\n"
	closes := make(chan bool, 3)
	address := upstream(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, responseText)
		if <-closes {
			return
		}
		_, _ = io.WriteString(conn, "late")
		_, _ = r.ReadByte()
	})
	for _, closing := range []bool{true, false} {
		client := connect(t, address)
		is.NoErr(client.Send(Outgoing{Method: "GET", Target: "/", Host: "a", Header: http.Header{}}))
		response, err := client.Receive("GET")
		is.NoErr(err)
		is.True(client.MarkIdle(time.Now(), response))
		is.True(client.IsReusable(time.Now(), time.Minute))
		is.True(!client.IsReusable(time.Now().Add(4500*time.Millisecond), time.Minute)) // the upstream's idle timeout is 5 s
		closes <- closing
		for client.IsReusable(time.Now(), time.Minute) {
			time.Sleep(time.Millisecond)
		}
	}
}

// An upstream that responds before it has read a long body still expects the rest of the body: the connection is not
// reused.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	address := upstream(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Hour)
	})
	client := connect(t, address)
	body := []byte(strings.Repeat("x", 32<<20)) // more than the socket buffers on both sides hold
	is.NoErr(client.Send(Outgoing{Method: "POST", Target: "/", Host: "a", Header: http.Header{}, Body: body}))
	response, err := client.Receive("POST")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusRequestEntityTooLarge)
	is.True(!client.MarkIdle(time.Now(), response))
}

// A body that ends early is an error, both with a Content-Length and with chunks. A body that is delimited by the end
// of the connection is complete.
func TestBodies(t *testing.T) {
	for name, c := range map[string]struct {
		responseText string
		isComplete   bool
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
					_, _ = io.WriteString(conn, c.responseText)
				}
			})
			client := connect(t, address)
			is.NoErr(client.Send(Outgoing{Method: "GET", Target: "/", Host: "a", Header: http.Header{}}))
			response, err := client.Receive("GET")
			is.NoErr(err)
			body, _, err := ReadBody(response, 1<<10)
			is.Equal(err == nil, c.isComplete)
			is.Equal(string(body), "abc")
		})
	}
}

// A head that breaks off at any byte, by an orderly close or a reset, is no response: what has been read of it could pass
// for a response with a shorter or an empty body.
func TestHeadThatBreaksOff(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Signature: abc\r\nContent-Length: 1234\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Signature: abc\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Signature: abc\r\n folded\r\n\r\n",
		"HTTP/1.1 200 OK\nX-Signature: abc\nContent-Length: 1234\n\n",
	} {
		for length := range len(head) {
			for _, isReset := range []bool{false, true} {
				is := is.New(t)
				address := upstream(t, func(conn net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(conn, head[:length])
					if isReset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
				})
				client := connect(t, address)
				is.NoErr(client.Send(Outgoing{Method: "GET", Target: "/", Host: "a", Header: http.Header{}}))
				response, err := client.Receive("GET")
				if err == nil {
					t.Fatalf("%q passed for a response: %+v", head[:length], response)
				}
				client.Close()
			}
		}
	}
}

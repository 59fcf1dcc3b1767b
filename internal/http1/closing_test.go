package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crossedConn is a connection on which a request arrives at the moment at which the server gives up waiting for one. As on
// a real connection, a read after the deadline fails although there is something to read.
type crossedConn struct {
	net.Conn
	request string

	mu       sync.Mutex
	changed  chan struct{}
	deadline time.Time
	arrived  bool
	taken    int
}

func (c *crossedConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !deadline.IsZero() && deadline.Before(time.Now()) {
		c.arrived = true
	}
	c.deadline = deadline
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

func (c *crossedConn) Read(buf []byte) (int, error) {
	for {
		c.mu.Lock()
		changed, left := c.changed, time.Until(c.deadline)
		isExpired := !c.deadline.IsZero() && left <= 0
		if !isExpired && c.arrived && c.taken < len(c.request) {
			n := copy(buf, c.request[c.taken:])
			c.taken += n
			c.mu.Unlock()
			return n, nil
		}
		hasDeadline := !c.deadline.IsZero()
		c.mu.Unlock()
		if isExpired {
			return 0, os.ErrDeadlineExceeded
		}
		if !hasDeadline {
			left = time.Hour
		}
		select {
		case <-changed:
		case <-time.After(left):
		}
	}
}

// oneConn is a listener with one connection.
type oneConn struct {
	conns chan net.Conn
}

func (l oneConn) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l oneConn) Close() error   { return nil }
func (l oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a request that has arrived and is cut without an answer because its connection counts as idle.
func TestRequestThatCrossesIdleClose(t *testing.T) {
	is := is.New(t)
	server := NewServer(echo, func() Limits {
		return Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10, HeaderTime: time.Minute, IdleTime: time.Minute}
	})
	near, far := net.Pipe()
	listener := oneConn{make(chan net.Conn, 1)}
	listener.conns <- &crossedConn{Conn: near, changed: make(chan struct{}), request: "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"}
	go func() { _ = server.Serve(listener) }()
	defer close(listener.conns)
	server.Drain()
	for {
		if all, _ := server.Count(); all == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for { // as a host does that stops
			server.CloseIdle()
			select {
			case <-time.After(10 * time.Millisecond):
			case <-ended:
				return
			}
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(far), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(response.Close)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
}

// Guards against connections that are reset with requests that have arrived: a server that stops to accept serves the
// connections that were opened before, and refuses later ones.
func TestStopAccepting(t *testing.T) {
	is := is.New(t)
	server, address := startServer(t, echo)
	var conns []net.Conn
	for range 8 {
		conn, _ := dial(t, address)
		_, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		is.NoErr(err)
		conns = append(conns, conn)
	}
	is.NoErr(server.StopAccepting(time.Now()))
	for _, conn := range conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
	}
	for server.Open() > 0 {
		time.Sleep(time.Millisecond)
	}
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			break // refused
		}
		is.NoErr(conn.Close())
	}
}

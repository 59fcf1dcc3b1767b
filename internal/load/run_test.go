package load

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/memnet"
)

// A request that a host read before it was lost counts as sent, even though a new connection to the host is refused.
// A caller that resends such a request as a first attempt gets "not-run" for a request that has run.
func TestRequestLostWithItsHostWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(func(_, _ memnet.Place) time.Duration { return time.Millisecond })
		address, _ := network.NextAddress()
		listener, err := network.At("a", "host").Listen(address)
		is.NoErr(err)
		go serveOneRequest(listener)
		runner := New(Settings{Workload: Gauteng(), Entries: []netip.AddrPort{address}}, network.At("callers", "caller"))
		call := Gauteng().Calls[2]
		is.Equal(call.Method, http.MethodGet)
		send := func() bool {
			return runner.attempt(context.Background(), call, "/plan/key/layout", "id", 1, 0, &outcome{})
		}
		is.True(send())  // the host responds
		is.True(send())  // read, then the host was lost
		is.True(!send()) // refused
	})
}

// serveOneRequest responds to the first request on a connection, and closes the listener and the connection after it
// has read the second one.
func serveOneRequest(listener net.Listener) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	reader := bufio.NewReader(conn)
	for isFirst := true; ; isFirst = false {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if !isFirst {
			_ = listener.Close()
			_ = conn.Close()
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

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

// A request that a host has taken in before it was lost counts as sent, although a new connection to
// the host is refused: a caller that says otherwise is told "not run" of a request that has run.
func TestRequestLostWithItsHostWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(func(_, _ memnet.Place) time.Duration { return time.Millisecond })
		address, _ := network.NextAddress()
		listener, err := network.At("a", "host").Listen(address)
		is.NoErr(err)
		go answerOnce(listener)
		runner := New(Settings{Workload: Gauteng(), Entries: []netip.AddrPort{address}}, network.At("callers", "caller"))
		call := Gauteng().Calls[2]
		is.Equal(call.Method, http.MethodGet)
		send := func() bool {
			return runner.attempt(context.Background(), call, "/plan/key/layout", "id", 1, 0, &fate{})
		}
		is.True(send())  // answered
		is.True(send())  // taken in, then the host was lost
		is.True(!send()) // refused
	})
}

// answerOnce answers the first request on a connection, and is lost when it has read the second one.
func answerOnce(listener net.Listener) {
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

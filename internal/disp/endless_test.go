package disp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/internal/upapi"
)

// serveEndless starts an upstream that responds to each request with a start and then a text over and over, until the
// caller closes. It returns a dispatcher of the upstream and the number of bytes that the upstream has written.
func serveEndless(t *testing.T, start, repeated string) (*Dispatcher, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var written atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, start)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, repeated)
					written.Add(int64(n))
				}
			}()
		}
	}()
	announced := state.Announced{ID: "u", Address: netip.MustParseAddrPort(listener.Addr().String()), Concurrency: 64, Connections: 64}
	d := New(time.Now(), Role{Upstream: state.Upstream{Announced: announced}}, Deps{Network: peer.TCP{}, Lease: validLease{}, Stats: &Stats{}})
	return d, &written
}

// maxUnread is more than an upstream can write to connections that nobody reads.
const maxUnread = 16 << 20

// Guards against a reply to a grant that is read without end: an entry host would run out of memory, and the requests of
// all its callers would end with it.
func TestGrantReplyWithoutEnd(t *testing.T) {
	is := is.New(t)
	d, written := serveEndless(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n{\"incarnation\":\""+strings.Repeat("x", 65520)+"\r\n",
		"10000\r\n"+strings.Repeat("x", 1<<16)+"\r\n")
	_, err := d.putGrant(context.Background(), upapi.Grant{})
	is.True(err != nil)
	d.grantClient.CloseIdleConnections()
	is.True(written.Load() < maxUnread)
}

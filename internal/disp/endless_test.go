package disp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/internal/upapi"
	"lovagelink.example/lovagelink/pkg/verd"
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
	d := New(time.Now(), Role{Upstream: state.Upstream{Announced: announced}}, Deps{Network: peer.TCP{}, Lease: validLease{}, Stats: &Stats{}, LargeResponses: NewLargeResponses()})
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

// countingNetwork counts the bytes that are read from its connections.
type countingNetwork struct {
	peer.Network
	read *atomic.Int64
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (n countingNetwork) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	return countingConn{conn, n.read}, err
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.read.Add(int64(n))
	return n, err
}

// Guards against responses without end to many requests at a time, which together would take all the memory of a host:
// only a few responses at a time are read beyond a moderate size.
func TestResponsesWithoutEnd(t *testing.T) {
	is := is.New(t)
	d, _ := serveEndless(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n"+strings.Repeat("x", 1<<16)+"\r\n")
	var read, readBeforeEnd atomic.Int64
	d.client = newClient(countingNetwork{peer.TCP{}, &read}, 64, idleTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var calls sync.WaitGroup
	const count = 32
	for range count {
		calls.Go(func() {
			request, err := d.buildRequest(ctx, time.Now(), newOwnedSlot(time.Now(), 1, 1), Request{Method: http.MethodGet, Path: "/", ID: "r"}, time.Time{})
			is.NoErr(err)
			outcome := d.exchange(request, Request{ID: "r"})
			is.Equal(outcome.Verdict, verd.MayHaveRun)
			readBeforeEnd.CompareAndSwap(0, read.Load())
		})
	}
	calls.Wait()
	const most = count*(2<<20) + 4*(maxResponseBytes+1<<20) // 2 MiB of each, and the whole of a few
	t.Logf("%d bytes were read before a request ended, %d in all", readBeforeEnd.Load(), read.Load())
	is.True(readBeforeEnd.Load() < most)
}

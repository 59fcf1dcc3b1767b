package front

import (
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against bodies without end for callers that don't read chunks: such a body is held whole, and many at a time
// would take all the memory of a host.
func TestUnframedBodiesWithoutEnd(t *testing.T) {
	is := is.New(t)
	limit := debug.SetMemoryLimit(maxHeapBytes * 7 / 10) // the share of its memory to which a host holds the collector
	defer debug.SetMemoryLimit(limit)
	var upstreams []*faultyUpstream
	filler := strings.Repeat("x", 64<<10)
	for range 24 {
		upstreams = append(upstreams, newFaultyUpstream(t, func(_ *faultyUpstream, conn net.Conn, id string, _ bool) {
			_, err := io.WriteString(conn, okHead+"Id: "+id+"\r\n\r\n")
			for written := 0; err == nil; written += len(filler) {
				if written > maxUnframedBody*3/4 {
					time.Sleep(100 * time.Millisecond) // the end of the limit is far
				}
				_, err = io.WriteString(conn, filler)
			}
		}))
	}
	url := startFront(t, upstreams...)
	heap := watchHeap(t)
	var callers sync.WaitGroup
	for i := range 72 {
		callers.Go(func() {
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			is.NoErr(err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET /often/x HTTP/1.0\r\nHost: a.example\r\nId: r%d\r\n\r\n", i)
			is.NoErr(err)
			answer, err := io.ReadAll(io.LimitReader(conn, 64<<10))
			is.NoErr(err)
			is.True(strings.HasPrefix(string(answer), "HTTP/1.1 50"))
		})
	}
	callers.Wait()
	largest := heap()
	t.Logf("largest heap: %d bytes", largest)
	is.True(largest < maxHeapBytes)
}

package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
	"lovagelink.example/lovagelink/internal/site"
)

// testCodec describes requests and responses by short headers.
type testCodec struct{}

func (testCodec) Read(h http.Header) calls.RequestInfo {
	key, err := strconv.ParseUint(h.Get("Key"), 10, 16)
	return calls.RequestInfo{ID: h.Get("Id"), Key: uint16(key), HasKey: err == nil}
}

func (testCodec) Write(http.Header, string, time.Duration) {}

func (testCodec) ParseResponse(_ int, h http.Header, id, _ string) calls.ResponseInfo {
	pause, _ := time.ParseDuration(h.Get("Pause"))
	limit, err := strconv.ParseFloat(h.Get("Limit"), 64)
	return calls.ResponseInfo{
		Limit: limit, HasLimit: err == nil,
		IsLeaving: h.Get("Leaving") != "", Pause: pause,
		MatchesID: h.Get("Id") == id, IsMismatched: h.Get("Id") != "" && h.Get("Id") != id,
		IsSigned: h.Get("Signed") != "", IsNotRun: h.Get("Not-Run") != "",
	}
}

// faultyUpstream runs a script for each request; seenHere says whether the request came on the same connection before.
type faultyUpstream struct {
	address netip.AddrPort

	mu   sync.Mutex
	seen map[string]bool
	ran  map[string]int // executions by request id
}

func newFaultyUpstream(t *testing.T, script func(u *faultyUpstream, conn net.Conn, id string, seenHere bool)) *faultyUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &faultyUpstream{address: netip.MustParseAddrPort(listener.Addr().String()), seen: make(map[string]bool), ran: make(map[string]int)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				seenHere := make(map[string]bool)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					id := request.Header.Get("Id")
					script(u, conn, id, seenHere[id])
					seenHere[id] = true
				}
			}()
		}
	}()
	return u
}

// isFirst reports whether a request has not arrived before.
func (u *faultyUpstream) isFirst(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	defer func() { u.seen[id] = true }()
	return !u.seen[id]
}

func (u *faultyUpstream) run(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ran[id]++
}

func (u *faultyUpstream) executionsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

// startFront serves callers and routes /once/ and /often/ to the upstreams of one service. It returns the URL.
func startFront(t *testing.T, upstreams ...*faultyUpstream) string {
	t.Helper()
	_, url := startFrontOf(t, false, upstreams...)
	return url
}

// startFrontOf is like startFront for a service that may be divided by key: each upstream owns an equal part.
func startFrontOf(t *testing.T, isKeyed bool, upstreams ...*faultyUpstream) (*Front, string) {
	t.Helper()
	f := New(site.Host{Name: "front", Bounds: site.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 600}}, peer.NewDynamic(peer.TCP{}, "front", netip.AddrPort{}), testCodec{}, log.NewNopLogger())
	destinations := []route.Destination{{Service: "s", Weight: 1}}
	update := realm.Update{Index: 1, Ranges: make(map[string]realm.Ranges), Config: &route.Config{Version: 1, Services: []route.Service{{Name: "s", Keyed: isKeyed}}, Routes: []route.Route{
		{Name: "once", Host: "a.example", Prefix: "/once/", Timeout: time.Second, LatencyTarget: time.Second, Attempts: 3, Destinations: destinations},
		{Name: "often", Host: "a.example", Prefix: "/often/", Repeat: route.Idempotent, Timeout: time.Second, LatencyTarget: time.Second, Attempts: 1, Destinations: destinations},
	}}}
	for i, u := range upstreams {
		update.Upstreams = append(update.Upstreams, realm.Upstream{
			Instance: realm.Instance{ID: fmt.Sprint("u", i), StartMillis: 1}, Service: "s", Address: u.address, Concurrency: 2,
		})
		if isKeyed {
			size := 65536 / len(upstreams)
			update.Ranges["s"] = append(update.Ranges["s"], realm.Range{
				KeyRange: realm.KeyRange{From: uint16(i * size), To: uint16((i+1)*size - 1)}, Owner: update.Upstreams[i].Instance, FencingToken: 1, Active: true, Changed: 1,
			})
		}
	}
	view, err := (&View{}).With(time.Now(), update)
	if err != nil {
		t.Fatal(err)
	}
	f.view.Store(view)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = f.server.Serve(listener) }()
	return f, "http://" + listener.Addr().String()
}

// ask sends a request; status 0 means that there was no complete response.
func ask(t *testing.T, client *http.Client, url, id string) (status int, body string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set("Id", id)
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// An upstream that refuses a request, is sent it again on the same connection, runs it and writes the refusal once more
// must not make the caller believe that it has not run, nor the request run twice.
func TestRefusalWrittenOnceMore(t *testing.T) {
	for name, headerOf := range map[string]func(id string) string{
		"with the id of the request": func(id string) string { return "Id: " + id + "\r\n" },
		"without an id":              func(string) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newFaultyUpstream(t, func(u *faultyUpstream, conn net.Conn, id string, seenHere bool) {
				refusal := "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" + headerOf(id) + "Content-Length: 0\r\n\r\n"
				if u.isFirst(id) {
					_, _ = io.WriteString(conn, refusal)
					return
				}
				u.run(id)
				if seenHere {
					_, _ = io.WriteString(conn, refusal)
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: "+id+"\r\nContent-Length: 3\r\n\r\nran")
			})
			url := startFront(t, u)
			for i := range 4 {
				id := fmt.Sprint("r", i)
				status, body := ask(t, &http.Client{}, url+"/once/x", id)
				is.Equal(status, http.StatusOK)
				is.Equal(body, "ran")
				is.Equal(u.executionsOf(id), 1)
			}
		})
	}
}

// An upstream that sends bytes without end, in a head or in a body, uses a bounded amount of memory of this host, and its
// caller gets no answer that looks complete.
func TestBytesWithoutEnd(t *testing.T) {
	const okHead = "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r\r\n"
	for name, c := range map[string]struct{ start, repeated string }{
		"status line":            {"HTTP/1.1 200 ", strings.Repeat("x", 4096)},
		"headers":                {okHead, "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"},
		"one header":             {okHead + "X-Filler: ", strings.Repeat("x", 4096)},
		"interim responses":      {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body of unknown length": {okHead + "\r\n", strings.Repeat("x", 4096)},
		"chunks":                 {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		"body of a refusal":      {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: r\r\n\r\n", strings.Repeat("x", 4096)},
		"body of another answer": {"HTTP/1.1 200 OK\r\nSigned: 1\r\nId: other\r\n\r\n", strings.Repeat("x", 4096)},
		"no answer at all":       {"", strings.Repeat("x", 4096)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newFaultyUpstream(t, func(_ *faultyUpstream, conn net.Conn, _ string, _ bool) {
				_, err := io.WriteString(conn, c.start)
				for err == nil {
					_, err = io.WriteString(conn, c.repeated)
				}
			})
			url := startFront(t, u)
			heap := watchHeap(t)
			status, _ := ask(t, &http.Client{}, url+"/once/x", "r")
			is.True(status == 0 || status >= http.StatusBadGateway)
			is.True(heap() < maxHeapBytes)
		})
	}
}

// maxHeapBytes is half of the memory of the platform's smallest hosts.
const maxHeapBytes = 92 << 20

// watchHeap returns a function that stops and returns the largest size of the heap since the call.
func watchHeap(t *testing.T) func() uint64 {
	t.Helper()
	stop, largest := make(chan struct{}), make(chan uint64)
	go func() {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		most := uint64(0)
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			most = max(most, stats.HeapInuse)
			select {
			case <-ticker.C:
			case <-stop:
				largest <- most
				return
			}
		}
	}()
	return func() uint64 {
		close(stop)
		return <-largest
	}
}

// A body of unknown length that is too large to hold reaches the caller whole. A caller of HTTP/1.0, which could not tell
// that it breaks off, gets it with its length, up to a limit.
func TestLargeBodyOfUnknownLength(t *testing.T) {
	is := is.New(t)
	u := newFaultyUpstream(t, func(_ *faultyUpstream, conn net.Conn, id string, _ bool) {
		size := 1 << 20
		if id == "huge" {
			size = maxUnframedBody + 1<<20
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: "+id+"\r\n\r\n"+strings.Repeat("x", size))
		_ = conn.Close()
	})
	url := startFront(t, u)
	status, body := ask(t, &http.Client{}, url+"/often/x", "large")
	is.Equal(status, http.StatusOK)
	is.Equal(len(body), 1<<20)
	for id, want := range map[string]int{"large": http.StatusOK, "huge": http.StatusBadGateway} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		is.NoErr(err)
		_, err = io.WriteString(conn, "GET /often/x HTTP/1.0\r\nHost: a.example\r\nId: "+id+"\r\n\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, want)
		text, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.True(want != http.StatusOK || len(text) == 1<<20 && response.ContentLength == 1<<20)
		is.NoErr(conn.Close())
	}
}

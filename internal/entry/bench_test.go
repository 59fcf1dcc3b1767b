package entry_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lovagelink.example/lovagelink/examples"
	"lovagelink.example/lovagelink/internal/fleet"
	"lovagelink.example/lovagelink/internal/peer"
)

// plainProxy is a minimal reverse proxy: it sends one HTTP request for each request that it receives.
type plainProxy struct {
	client *http.Client
	target string
}

func (p *plainProxy) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	out, err := http.NewRequestWithContext(request.Context(), request.Method, p.target+request.URL.Path,
		bytes.NewReader(body))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	response, err := p.client.Do(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(w, response.Body)
}

func newBench(b *testing.B) *fleet.Fleet {
	b.Helper()
	f, err := fleet.Build(time.Now(), fleet.Plan{
		Zones: []string{"a"}, Hosts: 2, Folder: b.TempDir(), VerifiesGrants: true,
		Groups: []fleet.Group{
			{Service: "plan", Count: 4, Concurrency: 64, Keyed: true},
			{Service: "commission", Count: 2, Concurrency: 64},
		},
		NextAddress: fleet.Loopback(),
		Network:     func(string, string) peer.Network { return peer.TCP{} },
		Logger:      log.NewNopLogger(),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := f.Start(ctx, examples.Gauteng); err != nil {
		b.Fatal(err)
	}
	time.Sleep(3 * time.Second) // until the dispatchers are spread over the hosts
	return f
}

var requestNumber atomic.Int64

func send(b *testing.B, client *http.Client, method, url string) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("order")
	}
	request, err := http.NewRequest(method, url, body)
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Request-Id", time.Duration(requestNumber.Add(1)).String())
	request.Header.Set("Request-Attempt", "1")
	response, err := client.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Fatalf("status %d: %s", response.StatusCode, response.Header.Get("Lovagelink-Reason"))
	}
}

// processTime returns the CPU time of this process, which runs the callers, entry hosts and upstreams.
func processTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func drive(b *testing.B, method string, url func() string) {
	b.ReportAllocs()
	before := processTime()
	b.RunParallel(func(pb *testing.PB) {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		defer client.CloseIdleConnections()
		for pb.Next() {
			send(b, client, method, url())
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64((processTime()-before).Microseconds())/float64(b.N), "cpu-us/request")
}

// addressFor returns the callers' address of the host that dispatches for a key of service plan, or of a host that
// does not.
func addressFor(b *testing.B, f *fleet.Fleet, key string, isDispatcher bool) netip.AddrPort {
	b.Helper()
	for i, host := range f.Hosts {
		if host.IsDispatcherFor("plan", key) == isDispatcher {
			return f.Settings[i].Callers
		}
	}
	b.Fatal("no such host")
	return netip.AddrPort{}
}

func BenchmarkPath(b *testing.B) {
	f := newBench(b)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat(".", 2048))
	}))
	defer upstream.Close()
	plain := httptest.NewServer(&plainProxy{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}, target: upstream.URL,
	})
	defer plain.Close()
	local := addressFor(b, f, "wall-1", true)
	remote := addressFor(b, f, "wall-1", false)
	b.Run("direct", func(b *testing.B) {
		drive(b, http.MethodGet, func() string { return upstream.URL + "/plan/wall-1/layout" })
	})
	b.Run("bare", func(b *testing.B) {
		drive(b, http.MethodGet, func() string { return plain.URL + "/plan/wall-1/layout" })
	})
	for _, run := range []struct {
		name   string
		entry  netip.AddrPort
		method string
		path   string
	}{
		{"get/local", local, http.MethodGet, "/plan/wall-1/layout"},
		{"get/hop", remote, http.MethodGet, "/plan/wall-1/layout"},
		{"post/local", local, http.MethodPost, "/plan/wall-1/bookings"},
		{"post/hop", remote, http.MethodPost, "/plan/wall-1/bookings"},
	} {
		b.Run(run.name, func(b *testing.B) {
			drive(b, run.method, func() string { return "http://" + run.entry.String() + run.path })
		})
	}
}

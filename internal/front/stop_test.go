package front

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/realm"
)

// testGrace is long enough for the load balancer's share of a stop.
const testGrace = 4 * time.Second

// startStoppable is like startFrontOf for a host that can be stopped, with routes that outlast its grace period.
func startStoppable(t *testing.T, isKeyed bool, upstreams ...*faultyUpstream) (*Front, string) {
	t.Helper()
	f, url := startFrontOf(t, isKeyed, upstreams...)
	f.site.Bounds.Grace = testGrace
	f.tomb.Go(func() error {
		<-f.tomb.Dying()
		return nil
	})
	old := f.view.Load()
	config := *old.Table.Config
	config.Version++
	config.Routes = slices.Clone(config.Routes)
	for i := range config.Routes {
		config.Routes[i].Timeout, config.Routes[i].LatencyTarget = time.Minute, time.Minute
	}
	update := realm.Update{Index: 2, Config: &config, Ranges: make(map[string]realm.Ranges)}
	f.setView(time.Now(), viewWith(t, old, time.Now(), update), old, nil)
	return f, url
}

// stopResult is how a request ended that was in progress when its host was stopped.
type stopResult struct {
	id     string
	status int // 0 without a complete response
}

// sendAll sends requests at the same time, each on a connection of its own, and waits until the host has read them.
func sendAll(t *testing.T, f *Front, url string, count int) <-chan stopResult {
	t.Helper()
	before := f.stats.Requests.Load()
	results := make(chan stopResult, count)
	for i := range count {
		go func() {
			id := fmt.Sprint("r", i)
			status, _ := ask(t, &http.Client{Transport: withKey{}}, url, id)
			results <- stopResult{id, status}
		}()
	}
	for f.stats.Requests.Load()-before < int64(count) {
		time.Sleep(time.Millisecond)
	}
	return results
}

// Guards against requests that are cut at the end of a planned stop while they wait for a turn on this host or for an
// upstream: each gets a response before the process ends, and a refusal only if no upstream has received it.
func TestStopAnswersRequestsThatWait(t *testing.T) {
	for name, isKeyed := range map[string]bool{"keyed": true, "unkeyed": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			u := newFaultyUpstream(t, func(u *faultyUpstream, _ net.Conn, id string, _ bool) { u.run(id) }) // never responds
			f, url := startStoppable(t, isKeyed, u)
			url += "/once/x"
			const count = 12
			results := sendAll(t, f, url, count)
			f.Stop(time.Now())
			refused := 0
			for range count {
				r := <-results
				switch r.status {
				case http.StatusServiceUnavailable:
					refused++
					is.Equal(u.executionsOf(r.id), 0)
				default:
					is.Equal(r.status, http.StatusGatewayTimeout) // the host says that the request may have run
				}
			}
			is.True(refused > 0)
		})
	}
}

// leftCodec records the time that upstreams are told they have.
type leftCodec struct {
	testCodec

	mu   *sync.Mutex
	left *[]time.Duration
}

func (c leftCodec) Write(_ http.Header, _ string, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*c.left = append(*c.left, left)
}

// Guards against work at upstreams that outlasts the host which waits for it: an upstream is given no more time than is
// left until the host has to respond, so that it refuses what it has not begun by then.
func TestStoppingHostGivesUpstreamsItsOwnTime(t *testing.T) {
	is := is.New(t)
	u := newFaultyUpstream(t, func(_ *faultyUpstream, conn net.Conn, id string, _ bool) {
		_, _ = io.WriteString(conn, okHead+"Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
	})
	f, url := startStoppable(t, false, u)
	var mu sync.Mutex
	var left []time.Duration
	f.codec = leftCodec{mu: &mu, left: &left}
	status, _ := ask(t, &http.Client{Transport: &http.Transport{}}, url+"/once/x", "before")
	is.Equal(status, http.StatusOK)
	stopped := make(chan struct{})
	go func() {
		f.Stop(time.Now())
		close(stopped)
	}()
	for !f.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	status, _ = ask(t, &http.Client{Transport: &http.Transport{}}, url+"/once/x", "after")
	is.Equal(status, http.StatusOK)
	<-stopped
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(left), 2)
	is.True(left[0] > testGrace)
	is.True(left[1] < testGrace)
}

// Guards against a request that waits in a queue of a stopping host until the end of its grace period, although it could
// no longer be served by then: it is refused while another host can still take it.
func TestStoppingHostRefusesLateRequestsEarly(t *testing.T) {
	is := is.New(t)
	u, _ := countingUpstream(t, okHead)
	f, _ := startStoppable(t, false, u)
	now := time.Now()
	waiting := f.upstreamFor(f.view.Load().Upstream("u0").Upstream)
	waiting.mu.Lock()
	waiting.limiter.OnResponse(now, 600*time.Millisecond, calls.Load{}, false) // the usual latency
	waiting.mu.Unlock()
	deadline := now.Add(time.Hour)
	for range 4 { // more than may be in flight
		go func() { _, _ = waiting.acquire(context.Background(), now, 0, deadline, deadline) }()
	}
	queued := func() int {
		_, n := waiting.busy()
		return n
	}
	for queued() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.shutdown.Store(newShutdown(now, testGrace))
	f.refuseLate(now)
	is.True(queued() > 0) // there is time for them yet
	f.refuseLate(now.Add(testGrace - time.Second))
	is.Equal(queued(), 0)
}

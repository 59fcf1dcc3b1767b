package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/http1"
	"lovagelink.example/lovagelink/internal/realm"
)

const okHead = "HTTP/1.1 200 OK\r\nSigned: 1\r\n"

// countingUpstream answers with the heads in turn, the last one for ever, and counts the requests.
func countingUpstream(t *testing.T, heads ...string) (*faultyUpstream, *atomic.Int64) {
	t.Helper()
	count := &atomic.Int64{}
	u := newFaultyUpstream(t, func(_ *faultyUpstream, conn net.Conn, id string, _ bool) {
		head := heads[min(int(count.Add(1)), len(heads))-1]
		_, _ = io.WriteString(conn, head+"Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
	})
	return u, count
}

// An upstream that says in a response of its own that it is leaving gets no further requests while another one serves;
// what may not be its own word changes nothing.
func TestLeavingUpstreamIsLeftAlone(t *testing.T) {
	for name, c := range map[string]struct {
		first    string
		believed bool
	}{
		"success":                         {okHead + "Leaving: 1\r\n", true},
		"failure":                         {"HTTP/1.1 500 Failed\r\nSigned: 1\r\nLeaving: 1\r\n", true},
		"refusal":                         {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nLeaving: 1\r\n", true},
		"interim response":                {"HTTP/1.1 103 Hints\r\nLeaving: 1\r\n\r\n" + okHead, false},
		"answer to another request":       {"HTTP/1.1 200 OK\r\nSigned: 1\r\nLeaving: 1\r\nId: other\r\nContent-Length: 0\r\n\r\n" + okHead, false},
		"unsigned answer":                 {"HTTP/1.1 200 OK\r\nLeaving: 1\r\n", false},
		"nothing about leaving":           {okHead, false},
		"answer of a caller's own choice": {okHead + "X-Leaving: 1\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			leaver, leaverCount := countingUpstream(t, c.first, okHead)
			other, otherCount := countingUpstream(t, okHead)
			f, url := startFrontOf(t, false, leaver, other)
			for i := 0; leaverCount.Load() == 0; i++ { // until the first has its turn
				_, _ = ask(t, &http.Client{}, url+"/often/x", fmt.Sprint("a", i))
				if i%8 == 7 {
					f.upstreamFor(f.view.Load().Upstream("u1").Upstream).recordFailure(time.Now(), true)
				}
			}
			time.Sleep(maxTestBackoff)
			before := leaverCount.Load()
			for i := range 12 {
				u1 := f.upstreamFor(f.view.Load().Upstream("u1").Upstream)
				if !c.believed {
					u1.recordFailure(time.Now(), true) // the leaver is the better choice
				}
				status, _ := ask(t, &http.Client{}, url+"/often/x", fmt.Sprint("b", i))
				is.Equal(status, http.StatusOK)
			}
			is.Equal(leaverCount.Load() > before, !c.believed)
			is.True(c.believed == (len(f.leavers) == 1)) // to be reported to the control hosts
			_ = otherCount
		})
	}
}

// maxTestBackoff is longer than the back-off after one failure.
const maxTestBackoff = 300 * time.Millisecond

func leavingInfo() calls.ResponseInfo { return calls.ResponseInfo{IsLeaving: true} }

func pauseInfo(period time.Duration) calls.ResponseInfo { return calls.ResponseInfo{Pause: period} }

func newCall(f *Front, now time.Time, key uint16) *call {
	c := &call{exchange: &http1.Exchange{Arrived: now}, tried: make(map[string]bool), deadline: now.Add(5 * time.Second)}
	table := f.view.Load().Table
	c.route, c.service = table.Find("a.example", "/often/x"), table.Config.ServiceNamed("s")
	c.info.Key, c.info.HasKey = key, true
	return c
}

// The owner of a key that leaves serves the key for the grace time, whether this host is in touch with the control hosts
// or not. After that the key is refused at once, since its next owner is not known here. Another instance under the same
// id or at the same address is not affected.
func TestLeavingOwnerServesForAGraceTime(t *testing.T) {
	is := is.New(t)
	leaver, _ := countingUpstream(t, okHead)
	f, _ := startFrontOf(t, true, leaver)
	ctx, now := context.Background(), time.Now()
	u := f.upstreamFor(f.view.Load().Upstream("u0").Upstream)
	_, refusal := f.choose(ctx, now, newCall(f, now, 7))
	is.True(refusal == nil)
	is.True(u.recordNotices(now, leavingInfo()))
	chosen, refusal := f.choose(ctx, now.Add(drainingGrace-time.Millisecond), newCall(f, now, 7))
	is.True(refusal == nil)
	is.Equal(chosen, u)
	late := now.Add(drainingGrace + maxOwnerWait)
	is.True(!f.isEligible(late, newCall(f, late, 7), u)) // one that has waited in the queue
	before := time.Now()
	_, refusal = f.choose(ctx, late, newCall(f, late, 7))
	is.Equal(refusal.status, http.StatusServiceUnavailable)
	is.True(time.Since(before) < maxOwnerWait/2) // at once

	old := f.view.Load()
	next := old.Upstream("u0").Upstream
	next.StartMillis, next.Changed = 2, 2
	update := realm.Update{Index: 2, Upstreams: []realm.Upstream{next}, Ranges: map[string]realm.Ranges{
		"s": {{KeyRange: realm.AllKeys, Owner: next.Instance, FencingToken: 2, Active: true, Changed: 2}},
	}}
	f.setView(late, viewWith(t, old, late, update), old, update.Upstreams)
	chosen, refusal = f.choose(ctx, late, newCall(f, late, 7))
	is.True(refusal == nil)
	is.Equal(chosen.registration.Instance, next.Instance)
	is.True(!chosen.isLeaving())
}

// An upstream that refuses with a pause gets nothing from this host for that time: requests for its keys are refused at
// once with the time that is left, also those that wait in the queue, and others go elsewhere.
func TestPausedUpstreamGetsNothing(t *testing.T) {
	is := is.New(t)
	busy, busyCount := countingUpstream(t, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nPause: 600ms\r\n", okHead)
	f, url := startFrontOf(t, true, busy)
	client := &http.Client{}
	send := func(id string) (int, time.Duration, string) {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url+"/often/x", nil)
		is.NoErr(err)
		request.Host = "a.example"
		request.Header.Set("Id", id)
		request.Header.Set("Key", "7")
		begin := time.Now()
		response, err := client.Do(request)
		is.NoErr(err)
		defer response.Body.Close()
		return response.StatusCode, time.Since(begin), response.Header.Get("Retry-After")
	}
	for i := range 5 {
		status, took, retryAfter := send(fmt.Sprint("r", i))
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(took < 300*time.Millisecond)
		is.True(retryAfter > "0.2" && retryAfter <= "0.60")
	}
	is.Equal(busyCount.Load(), int64(1))
	time.Sleep(650 * time.Millisecond)
	status, _, _ := send("later")
	is.Equal(status, http.StatusOK)

	u := f.upstreamFor(f.view.Load().Upstream("u0").Upstream)
	now := time.Now()
	for range 4 { // more than it may have at a time
		u.limiter.Enqueue(now, &waiter{start: make(chan struct{})}, 0, now.Add(time.Hour), now.Add(time.Hour))
	}
	u.recordNotices(now, pauseInfo(time.Second))
	_, waiting := u.busy()
	is.Equal(waiting, 0)
}

// While the last upstream of a service leaves or wants a pause, requests are refused at once, with the time after which
// it may be used again if there is one.
func TestLastUpstreamSaysSo(t *testing.T) {
	is := is.New(t)
	last, _ := countingUpstream(t, okHead)
	f, _ := startFrontOf(t, false, last)
	now := time.Now()
	u := f.upstreamFor(f.view.Load().Upstream("u0").Upstream)
	u.recordNotices(now, pauseInfo(700*time.Millisecond))
	_, refusal := f.chooseAny(now.Add(200*time.Millisecond), newCall(f, now, 0))
	is.Equal(refusal.status, http.StatusServiceUnavailable)
	is.Equal(refusal.retryAfter, 500*time.Millisecond)
	now = now.Add(time.Second)
	u.recordNotices(now, leavingInfo())
	chosen, refusal := f.chooseAny(now.Add(drainingGrace/2), newCall(f, now, 0))
	is.True(refusal == nil) // it still serves, and nobody else does
	is.Equal(chosen, u)
	_, refusal = f.chooseAny(now.Add(drainingGrace+time.Millisecond), newCall(f, now, 0))
	is.Equal(refusal.status, http.StatusServiceUnavailable)
}

// An upstream that resets new connections because it is full is not taken for a lost one. A request that must not run
// twice is not sent again, since its bytes may have arrived, and is not said not to have run; one that may be repeated is
// refused with the time of the back-off, and the upstream gets no more connections until then.
func TestFullUpstreamResetsConnections(t *testing.T) {
	is := is.New(t)
	var isFull atomic.Bool
	var count atomic.Int64
	isFull.Store(true)
	full := newFaultyUpstream(t, func(u *faultyUpstream, conn net.Conn, id string, _ bool) {
		count.Add(1)
		u.run(id)
		if isFull.Load() {
			is.NoErr(conn.(*net.TCPConn).SetLinger(0))
			is.NoErr(conn.Close())
			return
		}
		_, _ = io.WriteString(conn, okHead+"Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
	})
	f, url := startFrontOf(t, false, full)
	client := &http.Client{}
	status, _ := ask(t, client, url+"/once/x", "once")
	is.Equal(status, http.StatusBadGateway)
	is.Equal(full.executionsOf("once"), 1)
	u := f.upstreamFor(f.view.Load().Upstream("u0").Upstream)
	is.True(u.backoff(time.Now()) > 0)
	is.True(u.backoff(time.Now()) <= 100*time.Millisecond)
	before := count.Load()
	for i := range 10 {
		status, _ = ask(t, client, url+"/often/x", fmt.Sprint("often", i))
		is.Equal(status, http.StatusServiceUnavailable)
	}
	is.True(count.Load()-before <= 2)
	isFull.Store(false)
	time.Sleep(500 * time.Millisecond)
	status, _ = ask(t, client, url+"/once/x", "later")
	is.Equal(status, http.StatusOK)
}

// While a host stops, a request that stands behind another one on its connection is sent to an upstream only once that
// one has its answer: otherwise an answer that is ready would be cut together with the work before it.
func TestPipelinedRequestsOfAStoppingHost(t *testing.T) {
	for _, isStopping := range []bool{false, true} {
		t.Run(fmt.Sprint("stopping=", isStopping), func(t *testing.T) {
			is := is.New(t)
			release := make(chan struct{})
			var quickSent atomic.Bool
			u := newFaultyUpstream(t, func(_ *faultyUpstream, conn net.Conn, id string, _ bool) {
				if id == "slow" {
					<-release
				} else {
					quickSent.Store(true)
				}
				_, _ = io.WriteString(conn, okHead+"Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
			})
			f, url := startFrontOf(t, false, u)
			f.draining.Store(isStopping)
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			is.NoErr(err)
			defer conn.Close()
			for _, id := range []string{"slow", "quick"} {
				_, err = io.WriteString(conn, "GET /often/x HTTP/1.1\r\nHost: a.example\r\nId: "+id+"\r\n\r\n")
				is.NoErr(err)
			}
			time.Sleep(200 * time.Millisecond)
			is.Equal(quickSent.Load(), !isStopping)
			close(release)
			reader := bufio.NewReader(conn)
			for _, id := range []string{"slow", "quick"} {
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusOK)
				is.Equal(response.Header.Get("Id"), id)
			}
		})
	}
}

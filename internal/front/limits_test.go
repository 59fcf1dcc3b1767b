package front

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/core"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/quota"
	"lovagelink.example/lovagelink/internal/realm"
)

// startCounting starts a stand-in of a control host that counts the requests to upstreams, and makes the entry hosts ask
// it. It returns a function that ends it.
func startCounting(t *testing.T, port uint16, fronts ...*Front) (stop func()) {
	t.Helper()
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	endpoint := peer.NewDynamic(peer.TCP{}, address.String(), address)
	var mu sync.Mutex
	book := quota.NewBook[realm.Instance]()
	peer.HandleTyped(endpoint, "spend", func(_ context.Context, _ string, request core.SpendRequest) (quota.Answer, error) {
		mu.Lock()
		defer mu.Unlock()
		return book.Take(time.Now(), request.Upstream, request.Limit, request.Rank), nil
	})
	if err := endpoint.Start(); err != nil {
		t.Fatal(err)
	}
	for i, f := range fronts {
		f.endpoint = peer.NewDynamic(peer.TCP{}, fmt.Sprint("entry-", i), netip.AddrPort{})
		if err := f.endpoint.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(f.endpoint.Stop)
		f.mu.Lock()
		f.setControlHosts([]core.Member{{Name: address.String()}})
		f.mu.Unlock()
	}
	var once sync.Once
	stop = func() { once.Do(endpoint.Stop) }
	t.Cleanup(stop)
	return stop
}

// keyedClient sends requests for key 7.
var keyedClient = &http.Client{Transport: withKey{}}

type withKey struct{}

func (withKey) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set("Key", "7")
	return http.DefaultTransport.RoundTrip(request)
}

// An upstream that names a limit gets no more than that from all entry hosts together, also once the control host that
// counts can't be reached. What it doesn't take is refused at once, with the time to come back.
func TestNamedLimitIsKeptByAllHosts(t *testing.T) {
	for _, counted := range []bool{true, false} {
		t.Run(fmt.Sprintf("counted %t", counted), func(t *testing.T) {
			is := is.New(t)
			const limit = 2
			named := okHead + fmt.Sprintf("Limit: %d\r\n", limit)
			upstream, count := countingUpstream(t, named)
			first, firstURL := startFrontOf(t, true, upstream)
			second, secondURL := startFrontOf(t, true, upstream)
			stop := startCounting(t, 29390, first, second)
			for i, url := range []string{firstURL, secondURL} { // both have passed on an answer with the limit
				status, _ := ask(t, keyedClient, url+"/often/x", fmt.Sprint("first", i))
				is.Equal(status, http.StatusOK)
			}
			if !counted {
				stop()
			}
			refused := 0
			start := time.Now()
			for i := 0; time.Since(start) < 2*time.Second; i++ {
				for _, url := range []string{firstURL, secondURL} {
					asked := time.Now()
					if status, _ := ask(t, keyedClient, url+"/often/x", fmt.Sprint("r", i)); status == http.StatusServiceUnavailable {
						refused++
						is.True(time.Since(asked) < time.Second) // at once, not at the deadline
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			is.True(refused > 0)
			passed := time.Since(start).Seconds()
			is.True(float64(count.Load()) <= 1.5*limit*passed+5)
		})
	}
}

// A limit ends with a signed answer that names none, unless the request was sent before the limit was last named. Answers
// that may not be the upstream's own, or whose limit can't be read, change nothing.
func TestLimitEndsWithAnAnswerWithoutIt(t *testing.T) {
	is := is.New(t)
	u := newUpstream(realm.Upstream{Instance: realm.Instance{ID: "u"}, Concurrency: 2})
	now := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	named := calls.ResponseInfo{IsSigned: true, MatchesID: true, Limit: 3, HasLimit: true}
	plain := calls.ResponseInfo{IsSigned: true, MatchesID: true}

	is.True(!u.recordLimit(at(0), at(1), plain))
	is.True(u.recordLimit(at(1), at(2), named))
	is.True(!u.recordLimit(at(2), at(3), named)) // the same again
	is.True(!u.recordLimit(at(1.5), at(3.5), plain))
	is.True(!u.recordLimit(at(4), at(5), calls.ResponseInfo{IsNotRun: true}))
	is.True(!u.recordLimit(at(4), at(5), calls.ResponseInfo{IsSigned: true, Unreadable: "limit: x"}))
	limit, ok := u.limit()
	is.True(ok)
	is.Equal(limit, 3.0)
	is.True(u.recordLimit(at(4), at(5), plain))
	_, ok = u.limit()
	is.True(!ok)
}

// An upstream without keys that takes no more requests is passed over while another one does.
func TestLimitedUpstreamIsPassedOver(t *testing.T) {
	is := is.New(t)
	limited, limitedCount := countingUpstream(t, okHead+"Limit: 0\r\n")
	other, _ := countingUpstream(t, okHead)
	f, url := startFrontOf(t, false, limited, other)
	startCounting(t, 29391, f)
	for i := range 40 {
		status, _ := ask(t, &http.Client{}, url+"/often/x", fmt.Sprint("r", i))
		is.Equal(status, http.StatusOK)
	}
	is.True(limitedCount.Load() <= 3)
}

// A host that has just started knows the limits that other hosts were told. What one host was told reaches the others with
// the state, and its end does, unless a host was told otherwise in the meantime.
func TestLimitsReachHostsWithTheState(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	registration := newRegistration("u", 1, realm.Ready)
	registration.Limit = 2
	u := newUpstream(registration)
	limit, ok := u.limit()
	is.True(ok)
	is.Equal(limit, 2.0)

	u.learnLimit(now, 3)
	limit, _ = u.limit()
	is.Equal(limit, 3.0)
	is.True(u.recordLimit(now, now.Add(3*time.Second), calls.ResponseInfo{IsSigned: true, Limit: 5, HasLimit: true}))
	u.learnLimit(now.Add(4*time.Second), 0)
	_, ok = u.limit()
	is.True(ok) // this host was told of the limit after the others had seen its end
	u.learnLimit(now.Add(10*time.Second), 0)
	_, ok = u.limit()
	is.True(!ok)
}

// What an entry host was told is reported until the state says the same, and a change of the limit does not prolong the
// time in which a draining owner is still sent requests.
func TestLimitsAreReported(t *testing.T) {
	is := is.New(t)
	f, _ := startFrontOf(t, true, newFaultyUpstream(t, nil))
	state := f.view.Load().Upstream("u0")
	u := f.upstreamFor(state.Upstream)
	now := time.Now()
	is.True(u.recordLimit(now, now, calls.ResponseInfo{IsSigned: true, Limit: 5, HasLimit: true}))
	f.reportLimit(state.Instance)
	change := []realm.LimitChange{{Instance: state.Instance, Limit: 5}}
	is.Equal(f.takeCounts(false).Limits, change)
	is.Equal(f.takeCounts(false).Limits, change)

	seenAt := state.PhaseSeenAt
	limited := state.Upstream
	limited.Limit = 5
	old := f.view.Load()
	update := realm.Update{Index: old.Index + 1, Upstreams: []realm.Upstream{limited}}
	later := now.Add(time.Minute)
	f.setView(later, viewWith(t, old, later, update), old, update.Upstreams)
	is.Equal(len(f.takeCounts(false).Limits), 0)
	is.Equal(f.view.Load().Upstream("u0").PhaseSeenAt, seenAt)
}

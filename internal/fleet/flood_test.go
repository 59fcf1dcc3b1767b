package fleet

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/examples"
	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/memnet"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/upsim"
	"lovagelink.example/lovagelink/pkg/verd"
)

// Sizes of the flood tests: a tenth of Gauteng, so that a flood of ten times the capacity fits one machine.
const (
	smallCapacity = 300 // layouts per second that the plan upstreams can run
	smallRate     = 60  // ordinary requests per second
	floodPeriod   = 6 * time.Second
)

func smallSetup() setup {
	return setup{config: examples.Gauteng, hosts: 3, verifiesGrants: true, groups: []Group{
		{Service: "plan", Count: 3, Concurrency: 2, Keyed: true, ServiceTime: 20 * time.Millisecond},
		{Service: "commission", Count: 2, Concurrency: 2, ServiceTime: 20 * time.Millisecond},
	}}
}

// smallKingston is a tenth of Kingston, with the capacity of smallSetup.
func smallKingston() setup {
	return setup{config: examples.Kingston, hosts: 3, verifiesGrants: true, delays: kingstonDelays, groups: []Group{
		{Service: "rounds", Count: 3, Concurrency: 6, Keyed: true, ServiceTime: 60 * time.Millisecond},
		{Service: "billing", Count: 2, Concurrency: 6, ServiceTime: 60 * time.Millisecond},
	}}
}

// onlyCall returns a workload that consists of one call of another workload.
func onlyCall(workload load.Workload, name string) load.Workload {
	for _, call := range workload.Calls {
		if call.Name == name {
			workload.Name = "flood"
			workload.Calls = []load.Call{call}
			return workload
		}
	}
	panic("no call " + name)
}

// startFlood starts a flood in addition to the load; the channel delivers the result that the flood's callers saw.
func (sc *scenario) startFlood(workload load.Workload, rate float64, period time.Duration) <-chan *load.Result {
	runner := load.New(load.Settings{
		Workload: workload, Rate: rate, Period: period, Entries: sc.Entries(), Seed: 2,
	}, sc.net.At("callers", "flood"))
	done := make(chan *load.Result, 1)
	go func() { done <- runner.Run(context.Background()) }()
	return done
}

// runFlood runs a load and a flood of one call, and injects a failure during the flood. share is the part of the
// ordinary callers' worth that was served on target.
func runFlood(t *testing.T, sc *scenario, workload load.Workload, call string, factor float64, inject func(sc *scenario)) (share float64, ordinary, flood *load.Result) {
	sc.startLoad(workload, smallRate, floodPeriod)
	time.Sleep(time.Second)
	floodResult := sc.startFlood(onlyCall(workload, call), factor*smallCapacity, floodPeriod-2*time.Second)
	time.Sleep(time.Second)
	inject(sc)
	<-sc.done
	flood = <-floodResult
	served, requested := sc.result.Worth()
	for _, result := range []*load.Result{sc.result, flood} {
		for _, tally := range result.Tallies {
			t.Logf("%-12s sent %5d served %5d on target %5d refused %5d unknown %4d p50 %v p99 %v", tally.Call.Name,
				tally.Sent, tally.Served, tally.OnTarget, tally.Refused, tally.Unknown,
				tally.Percentile(50), tally.Percentile(99))
		}
	}
	return served / requested, sc.result, flood
}

// noFailure injects nothing.
func noFailure(*scenario) {}

// floodCase is a flood of requests of one call.
type floodCase struct {
	name     string
	call     string
	factor   float64 // rate, as a multiple of the capacity
	minShare float64 // minimum share of the ordinary callers' worth that must be served on target
}

// In a flood the most urgent work must be served and the other ranks must get their floors, with no less worth
// served than by the naive router.
func TestFloods(t *testing.T) {
	runFloods(t, smallSetup, load.Gauteng(), []floodCase{
		{"least-urgent-3x", "layout", 3, 0.9},
		{"least-urgent-10x", "layout", 10, 0.9},
		{"most-urgent-3x", "confirmation", 3, 0.2},
	})
}

// The floods of TestFloods with the workload, worths and delays of Kingston.
func TestKingstonFloods(t *testing.T) {
	runFloods(t, smallKingston, load.Kingston(), []floodCase{
		{"least-urgent-3x", "overview", 3, 0.9},
		{"least-urgent-10x", "overview", 10, 0.9},
		{"round-sheets-3x", "round-sheet", 3, 0.4},
		{"most-urgent-3x", "sign-off", 3, 0.2},
	})
}

func runFloods(t *testing.T, newSetup func() setup, workload load.Workload, cases []floodCase) {
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				noGrantChecks := newSetup()
				noGrantChecks.verifiesGrants = false
				naiveShare, _, _ := runFlood(t, newNaiveScenario(t, noGrantChecks), workload, tc.call, tc.factor, noFailure)
				t.Logf("naive: worth served %.3f", naiveShare)
				sc := newScenario(t, newSetup())
				share, _, flood := runFlood(t, sc, workload, tc.call, tc.factor, noFailure)
				t.Logf("lovagelink: worth served %.3f", share)
				if share < tc.minShare || share < naiveShare {
					t.Errorf("worth served %.3f, naive %.3f, minimum %.3f", share, naiveShare, tc.minShare)
				}
				sc.verifyAll(flood)
			})
		})
	}
}

// verifyAll verifies every guarantee for the ordinary callers and for those of a flood.
func (sc *scenario) verifyAll(flood *load.Result) {
	sc.t.Helper()
	runs := sc.Ledger.Runs()
	for _, result := range []*load.Result{sc.result, flood} {
		if verification := result.Verify(runs); !verification.OK() {
			sc.t.Errorf("guarantees violated: %+v", verification)
		}
	}
}

// A failure during a flood of the least urgent rank at 3 times the capacity must violate no guarantee, and the
// ordinary callers must get no less worth served than from the naive router.
func TestFailuresInFlood(t *testing.T) {
	shedding, cold, halfCold := smallSetup(), smallSetup(), smallSetup()
	shedding.groups[0].ShedAbove = 1
	cold.groups[0].Warmup = 4 * time.Second
	halfCold.groups[0].Warmup, halfCold.groups[0].WarmupEvery = 4*time.Second, 2
	for _, tc := range []struct {
		name   string
		setup  setup
		inject func(sc *scenario)
	}{
		{"upstreams-shed", shedding, noFailure},
		{"upstreams-cold", cold, noFailure},
		{"upstreams-half-cold", halfCold, noFailure},
		{"upstream-slow", smallSetup(), func(sc *scenario) {
			sc.Upstream("plan-02").SetFaults(upsim.Faults{Late: 300 * time.Millisecond})
		}},
		{"upstream-lost", smallSetup(), func(sc *scenario) { sc.Upstream("plan-02").Kill() }},
		{"upstream-frozen", smallSetup(), func(sc *scenario) {
			sc.Upstream("plan-02").SetFrozen(true)
			time.Sleep(2 * time.Second)
			sc.Upstream("plan-02").SetFrozen(false)
		}},
		{"host-lost", smallSetup(), func(sc *scenario) { sc.stopEntry(1) }},
		{"connections-silent", smallSetup(), func(sc *scenario) {
			sc.net.Blackhole(func(from, to memnet.Place) bool { return from.Zone != "callers" && to.Zone != "callers" })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				noGrantChecks := tc.setup
				noGrantChecks.verifiesGrants = false
				naiveScenario := newNaiveScenario(t, noGrantChecks)
				naiveShare, _, flood := runFlood(t, naiveScenario, load.Gauteng(), "layout", 3, tc.inject)
				runs := naiveScenario.Ledger.Runs()
				t.Logf("naive: worth served %.3f, %+v, flood %+v",
					naiveShare, naiveScenario.result.Verify(runs), flood.Verify(runs))
				sc := newScenario(t, tc.setup)
				share, _, flood := runFlood(t, sc, load.Gauteng(), "layout", 3, tc.inject)
				t.Logf("lovagelink: worth served %.3f", share)
				if share < naiveShare {
					t.Errorf("worth served %.3f, naive %.3f", share, naiveShare)
				}
				sc.verifyAll(flood)
			})
		})
	}
}

// countingBody is a request body that counts the bytes that were read from it.
type countingBody struct {
	remaining int
	bytesRead atomic.Int64
}

func (b *countingBody) Read(buf []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(buf), b.remaining)
	b.remaining -= n
	b.bytesRead.Add(int64(n))
	return n, nil
}

// In a flood, a request with a long body must be refused before the body is sent, with a Retry-After header.
// Without a flood, the same request must run.
func TestLongBodyIsRefusedEarly(t *testing.T) {
	const length = 512 << 10
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		sc := newScenario(t, smallSetup())
		verdict, _, _ := sc.postLongBody(length)
		is.Equal(verdict, verd.Ran.String())
		floodResult := sc.startFlood(onlyCall(load.Gauteng(), "booking"), 10*smallCapacity, 5*time.Second)
		time.Sleep(4 * time.Second)
		refused := 0
		for range 20 {
			verdict, retryAfter, read := sc.postLongBody(length)
			if verdict == verd.NotRun.String() {
				refused++
				is.Equal(read, int64(0))
				is.True(retryAfter != "")
			}
		}
		<-floodResult
		t.Logf("%d of 20 refused", refused)
		is.True(refused >= 10)
	})
}

// postLongBody sends a booking with a long body, which the client sends only after 100 Continue. It returns the
// verdict, the Retry-After header and how many bytes of the body were sent.
func (sc *scenario) postLongBody(length int) (verdict, retryAfter string, read int64) {
	transport := &http.Transport{
		DialContext:           peer.DialHTTP(sc.net.At("callers", "long")),
		ExpectContinueTimeout: 10 * time.Second,
	}
	defer transport.CloseIdleConnections()
	body := &countingBody{remaining: length}
	url := fmt.Sprintf("http://%s/plan/wall-1/bookings", sc.Entries()[0])
	request, err := http.NewRequest(http.MethodPost, url, body)
	if err != nil {
		sc.t.Fatal(err)
	}
	request.ContentLength = int64(length)
	request.Header.Set("Expect", "100-continue")
	request.Header.Set("Request-Id", rand.Text())
	request.Header.Set("Request-Attempt", "1")
	response, err := transport.RoundTrip(request)
	if err != nil {
		sc.t.Fatal(err)
	}
	defer response.Body.Close()
	return response.Header.Get(verd.Header), response.Header.Get("Retry-After"), body.bytesRead.Load()
}

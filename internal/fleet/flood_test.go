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

// Sizes of the flood scenes: a tenth of Gauteng, so that ten times its capacity fits one machine.
const (
	smallCapacity = 300 // layouts a second that the plan upstreams can do
	smallRate     = 60  // ordinary requests a second
	floodPeriod   = 6 * time.Second
)

func smallSetup() setup {
	return setup{config: examples.Gauteng, hosts: 3, checks: true, groups: []Group{
		{Service: "plan", Count: 3, Concurrency: 2, Keyed: true, ServiceTime: 20 * time.Millisecond},
		{Service: "commission", Count: 2, Concurrency: 2, ServiceTime: 20 * time.Millisecond},
	}}
}

// smallKingston is a tenth of Kingston that can do as much as smallSetup.
func smallKingston() setup {
	return setup{config: examples.Kingston, hosts: 3, checks: true, delays: kingstonDelays, groups: []Group{
		{Service: "rounds", Count: 3, Concurrency: 6, Keyed: true, ServiceTime: 60 * time.Millisecond},
		{Service: "billing", Count: 2, Concurrency: 6, ServiceTime: 60 * time.Millisecond},
	}}
}

// only is the part of a shape that sends one kind of call.
func only(shape load.Workload, name string) load.Workload {
	for _, call := range shape.Calls {
		if call.Name == name {
			shape.Name = "flood"
			shape.Calls = []load.Call{call}
			return shape
		}
	}
	panic("no call " + name)
}

// flood adds a flood to the load of a scene and returns what its callers saw.
func (sc *scene) flood(shape load.Workload, rate float64, period time.Duration) <-chan *load.Result {
	runner := load.New(load.Settings{
		Workload: shape, Rate: rate, Period: period, Entries: sc.Entries(), Seed: 2,
	}, sc.net.At("callers", "flood"))
	done := make(chan *load.Result, 1)
	go func() { done <- runner.Run(context.Background()) }()
	return done
}

// runFlood loads a scene, floods it, strikes amid the flood, and returns the ordinary callers' share of
// worth served.
func runFlood(t *testing.T, sc *scene, shape load.Workload, name string, factor float64, strike func(sc *scene)) (share float64, ordinary, flood *load.Result) {
	sc.load(shape, smallRate, floodPeriod)
	time.Sleep(time.Second)
	flooded := sc.flood(only(shape, name), factor*smallCapacity, floodPeriod-2*time.Second)
	time.Sleep(time.Second)
	strike(sc)
	<-sc.done
	flood = <-flooded
	served, asked := sc.result.Worth()
	for _, result := range []*load.Result{sc.result, flood} {
		for _, tally := range result.Tallies {
			t.Logf("%-12s sent %5d served %5d on target %5d refused %5d unknown %4d p50 %v p99 %v", tally.Call.Name,
				tally.Sent, tally.Served, tally.OnTarget, tally.Refused, tally.Unknown,
				tally.Percentile(50), tally.Percentile(99))
		}
	}
	return served / asked, sc.result, flood
}

func unharmed(*scene) {}

// floodScene is a flood of one kind of call.
type floodScene struct {
	name   string
	call   string
	factor float64 // of the capacity
	floor  float64 // of the ordinary worth that must be served
}

// In a flood the urgent work is served, the others keep their floors, and the naive router does worse.
func TestFloods(t *testing.T) {
	runFloods(t, smallSetup, load.Gauteng(), []floodScene{
		{"least-urgent-3x", "layout", 3, 0.9},
		{"least-urgent-10x", "layout", 10, 0.9},
		{"most-urgent-3x", "confirmation", 3, 0.2},
	})
}

// The same with Kingston's work, worths and delays.
func TestKingstonFloods(t *testing.T) {
	runFloods(t, smallKingston, load.Kingston(), []floodScene{
		{"least-urgent-3x", "overview", 3, 0.9},
		{"least-urgent-10x", "overview", 10, 0.9},
		{"round-sheets-3x", "round-sheet", 3, 0.4},
		{"most-urgent-3x", "sign-off", 3, 0.2},
	})
}

func runFloods(t *testing.T, setup func() setup, shape load.Workload, scenes []floodScene) {
	for _, scene := range scenes {
		t.Run(scene.name, func(t *testing.T) {
			t.Parallel()
			in(t, func(t *testing.T) {
				trusting := setup()
				trusting.checks = false
				share, _, _ := runFlood(t, openNaive(t, trusting), shape, scene.call, scene.factor, unharmed)
				t.Logf("naive: worth served %.3f", share)
				sc := open(t, setup())
				mine, _, flood := runFlood(t, sc, shape, scene.call, scene.factor, unharmed)
				t.Logf("lovagelink: worth served %.3f", mine)
				if mine < scene.floor || mine < share {
					t.Errorf("worth served %.3f, naive %.3f, floor %.3f", mine, share, scene.floor)
				}
				sc.judgeAll(flood)
			})
		})
	}
}

// judgeAll checks every promise to the ordinary callers and to those of a flood.
func (sc *scene) judgeAll(flood *load.Result) {
	sc.t.Helper()
	runs := sc.Ledger.Runs()
	for _, result := range []*load.Result{sc.result, flood} {
		if verdict := result.Verify(runs); !verdict.OK() {
			sc.t.Errorf("promises broken: %+v", verdict)
		}
	}
}

// Something fails amid a flood of the least urgent at 3 times the capacity: every promise holds, and the
// ordinary callers get no less of their worth than from the naive router.
func TestFailuresInFlood(t *testing.T) {
	shedding, cold, half := smallSetup(), smallSetup(), smallSetup()
	shedding.groups[0].ShedAbove = 1
	cold.groups[0].Warmup = 4 * time.Second
	half.groups[0].Warmup, half.groups[0].WarmupEvery = 4*time.Second, 2
	for _, one := range []struct {
		name   string
		setup  setup
		strike func(sc *scene)
	}{
		{"upstreams-shed", shedding, unharmed},
		{"upstreams-cold", cold, unharmed},
		{"upstreams-half-cold", half, unharmed},
		{"upstream-slow", smallSetup(), func(sc *scene) {
			sc.Upstream("plan-02").SetFaults(upsim.Faults{Late: 300 * time.Millisecond})
		}},
		{"upstream-lost", smallSetup(), func(sc *scene) { sc.Upstream("plan-02").Kill() }},
		{"upstream-frozen", smallSetup(), func(sc *scene) {
			sc.Upstream("plan-02").SetFrozen(true)
			time.Sleep(2 * time.Second)
			sc.Upstream("plan-02").SetFrozen(false)
		}},
		{"host-lost", smallSetup(), func(sc *scene) { sc.stopEntry(1) }},
		{"connections-silent", smallSetup(), func(sc *scene) {
			sc.net.Blackhole(func(from, to memnet.Place) bool { return from.Zone != "callers" && to.Zone != "callers" })
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			in(t, func(t *testing.T) {
				trusting := one.setup
				trusting.checks = false
				other := openNaive(t, trusting)
				share, _, flood := runFlood(t, other, load.Gauteng(), "layout", 3, one.strike)
				runs := other.Ledger.Runs()
				t.Logf("naive: worth served %.3f, %+v, flood %+v", share, other.result.Verify(runs), flood.Verify(runs))
				sc := open(t, one.setup)
				mine, _, flood := runFlood(t, sc, load.Gauteng(), "layout", 3, one.strike)
				t.Logf("lovagelink: worth served %.3f", mine)
				if mine < share {
					t.Errorf("worth served %.3f, naive %.3f", mine, share)
				}
				sc.judgeAll(flood)
			})
		})
	}
}

// countedBody is a request's body that counts the bytes that were taken from it.
type countedBody struct {
	left int
	read atomic.Int64
}

func (b *countedBody) Read(buf []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(buf), b.left)
	b.left -= n
	b.read.Add(int64(n))
	return n, nil
}

// In a flood a long request that would be refused is refused before its body is sent, and says when to
// come back; in calm the same request is taken.
func TestLongBodyIsRefusedEarly(t *testing.T) {
	const length = 512 << 10
	in(t, func(t *testing.T) {
		is := is.New(t)
		sc := open(t, smallSetup())
		verdict, _, _ := sc.postLong(length)
		is.Equal(verdict, verd.Ran.String())
		flooded := sc.flood(only(load.Gauteng(), "booking"), 10*smallCapacity, 5*time.Second)
		time.Sleep(4 * time.Second)
		refused := 0
		for range 20 {
			verdict, after, read := sc.postLong(length)
			if verdict == verd.NotRun.String() {
				refused++
				is.Equal(read, int64(0))
				is.True(after != "")
			}
		}
		<-flooded
		t.Logf("%d of 20 refused", refused)
		is.True(refused >= 10)
	})
}

// postLong lodges a booking with a long body that is sent only once the entry host asks for it. It
// returns the verdict, when to come back, and how much of the body was sent.
func (sc *scene) postLong(length int) (verdict, retryAfter string, read int64) {
	transport := &http.Transport{
		DialContext:           peer.DialHTTP(sc.net.At("callers", "long")),
		ExpectContinueTimeout: 10 * time.Second,
	}
	defer transport.CloseIdleConnections()
	body := &countedBody{left: length}
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
	return response.Header.Get(verd.Header), response.Header.Get("Retry-After"), body.read.Load()
}

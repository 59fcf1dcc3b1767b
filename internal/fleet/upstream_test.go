package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/upsim"
	"lovagelink.example/lovagelink/pkg/verd"
)

// A misbehaving upstream must violate no guarantee, and requests for the keys of other upstreams must be served.
func TestMisbehavingUpstreams(t *testing.T) {
	for _, tc := range []struct {
		name     string
		faults   upsim.Faults
		minShare float64 // minimum share of all requests that must be served
	}{
		{"answers-cut", upsim.Faults{Truncate: true}, 0.85},
		{"answers-crossed", upsim.Faults{WrongID: true}, 0.85},
		{"answers-late", upsim.Faults{Late: 300 * time.Millisecond}, 0.95},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				sc := newScenario(t, gautengSetup())
				sc.startLoad(load.Gauteng(), steadyRate, 8*time.Second)
				time.Sleep(time.Second)
				sc.Upstream("plan-03").SetFaults(tc.faults)
				result := sc.verify()
				served := 0
				for _, tally := range result.Tallies {
					served += tally.Served
				}
				if share := float64(served) / float64(result.Sent()); share < tc.minShare {
					t.Errorf("share of requests served: %.3f", share)
				}
			})
		})
	}
}

// Upstreams that shed load or start cold must get no more requests than they can run: nearly all requests must be
// served, no outcome may be unknown, and no request that was reported as not run may have run.
func TestSheddingAndColdUpstreams(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := smallSetup()
		s.groups[0].ShedAbove = 1
		s.groups[0].Warmup = 5 * time.Second
		sc := newScenario(t, s)
		sc.startLoad(load.Gauteng(), smallRate, 8*time.Second)
		result := sc.verify()
		for _, tally := range result.Tallies {
			if tally.Unknown > 0 || tally.Served < tally.Sent*9/10 {
				t.Errorf("%s: %d of %d served, %d unknown", tally.Call.Name, tally.Served, tally.Sent, tally.Unknown)
			}
		}
	})
}

// A request that no service can run must be refused with the verdict not-run, and the response must name the
// place of the fault and a remedy.
func TestFaultyRequests(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		sc := newScenario(t, smallSetup())
		entry := sc.Settings[0].Callers
		for _, tc := range []struct{ method, path, id, body, want string }{
			{"GET", "/nowhere/", "r", "", "no service has this route"},
			// /status and /config are served to operators, the announcement to upstreams, /run to other hosts.
			{"GET", "/status", "r", "", "no service has this route"},
			{"POST", "/config", "r", "x", "no service has this route"},
			{"POST", "/lovagelink/announce", "r", "x", "no service has this route"},
			{"POST", "/run", "r", "x", "no service has this route"},
			{"PATCH", "/plan/wall-1", "r", "", "no rule for it"},
			{"POST", "/plan/wall-1/bookings", "", "x", "header Request-Id"},
			{"POST", "/plan/", "r", "x", "the key is missing"},
			{"POST", "/plan/wall-1/bookings", "r", strings.Repeat("x", 2<<20), "longer than"},
		} {
			verdict, text := sc.send(entry, tc.method, tc.path, tc.id, tc.body)
			is.Equal(verdict, verd.NotRun.String())
			is.True(strings.Contains(text, tc.want))  // the place of the fault
			is.True(strings.Contains(text, "remedy")) // the remedy
		}
		is.Equal(len(sc.Ledger.Runs()), 0)
	})
}

// The metrics must count the requests, and their latencies by rank and verdict.
func TestMetricsAreScraped(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		sc := newScenario(t, smallSetup())
		is.Equal(sc.postBooking(sc.Settings[0].Callers, "wall-1", "r1", 1, 0), verd.Ran.String())
		_, text := sc.send(sc.Settings[0].Operators, "GET", "/metrics", "", "")
		for _, line := range []string{
			"# HELP lovagelink_requests_total requests of callers that came in",
			"lovagelink_requests_total 1",
			`lovagelink_request_duration_seconds_count{rank="booking",verdict="ran"} 1`,
			"lovagelink_config_version 1",
		} {
			is.True(strings.Contains(text, line))
		}
	})
}

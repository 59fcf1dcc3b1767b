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

// Upstreams that misbehave break no promise, and what the others own is served.
func TestMisbehavingUpstreams(t *testing.T) {
	for _, fault := range []struct {
		name   string
		faults upsim.Faults
		share  float64 // of all requests that must be served
	}{
		{"answers-cut", upsim.Faults{Truncate: true}, 0.85},
		{"answers-crossed", upsim.Faults{WrongID: true}, 0.85},
		{"answers-late", upsim.Faults{Late: 300 * time.Millisecond}, 0.95},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			in(t, func(t *testing.T) {
				sc := open(t, gautengSetup())
				sc.load(load.Gauteng(), steadyRate, 8*time.Second)
				time.Sleep(time.Second)
				sc.Upstream("plan-03").SetFaults(fault.faults)
				result := sc.judge()
				served := 0
				for _, tally := range result.Tallies {
					served += tally.Served
				}
				if share := float64(served) / float64(result.Sent()); share < fault.share {
					t.Errorf("%.3f of the requests served", share)
				}
			})
		})
	}
}

// Upstreams that shed and ones that start cold are paced; their refusals are true.
func TestSheddingAndColdUpstreams(t *testing.T) {
	in(t, func(t *testing.T) {
		s := smallSetup()
		s.groups[0].ShedAbove = 1
		s.groups[0].Warmup = 5 * time.Second
		sc := open(t, s)
		sc.load(load.Gauteng(), smallRate, 8*time.Second)
		result := sc.judge()
		for _, tally := range result.Tallies {
			if tally.Unknown > 0 || tally.Served < tally.Sent*9/10 {
				t.Errorf("%s: %d of %d served, %d unknown", tally.Call.Name, tally.Served, tally.Sent, tally.Unknown)
			}
		}
	})
}

// A request that no service can take is refused with a true "not run", its place and a remedy.
func TestFaultyRequests(t *testing.T) {
	in(t, func(t *testing.T) {
		is := is.New(t)
		sc := open(t, smallSetup())
		entry := sc.Settings[0].Callers
		for _, one := range []struct{ method, path, id, body, want string }{
			{"GET", "/nowhere/", "r", "", "no service has this route"},
			{"GET", "/status", "r", "", "no service has this route"}, // what operators, upstreams and hosts may call
			{"POST", "/config", "r", "x", "no service has this route"},
			{"POST", "/lovagelink/announce", "r", "x", "no service has this route"},
			{"POST", "/run", "r", "x", "no service has this route"},
			{"PATCH", "/plan/wall-1", "r", "", "no rule for it"},
			{"POST", "/plan/wall-1/bookings", "", "x", "header Request-Id"},
			{"POST", "/plan/", "r", "x", "the key is missing"},
			{"POST", "/plan/wall-1/bookings", "r", strings.Repeat("x", 2<<20), "longer than"},
		} {
			verdict, text := sc.send(entry, one.method, one.path, one.id, one.body)
			is.Equal(verdict, verd.NotRun.String())
			is.True(strings.Contains(text, one.want)) // the place
			is.True(strings.Contains(text, "remedy")) // and the remedy
		}
		is.Equal(len(sc.Ledger.Runs()), 0)
	})
}

// What callers were answered is scraped by rank and verdict.
func TestMetricsAreScraped(t *testing.T) {
	in(t, func(t *testing.T) {
		is := is.New(t)
		sc := open(t, smallSetup())
		is.Equal(sc.post(sc.Settings[0].Callers, "wall-1", "r1", 1, 0), verd.Ran.String())
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

package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Call is a class of requests of a workload.
type Call struct {
	Name          string
	Method        string
	Path          string // %s is replaced by the key
	Rank          string
	Share         float64 // fraction of all requests
	Target        time.Duration
	Worth         float64
	Timeout       time.Duration // time that the caller waits for an outcome, including resends
	NonIdempotent bool
}

// Workload is the mix of requests of one deployment.
type Workload struct {
	Name  string
	Calls []Call
	Keys  int
	Skew  float64 // exponent of the Zipf distribution of keys, above 1
}

// Gauteng returns the workload of the Hanging Office.
func Gauteng() Workload {
	return Workload{
		Name: "gauteng", Keys: 2000, Skew: 1.1,
		Calls: []Call{
			{
				Name: "confirmation", Method: http.MethodPost, Path: "/commission/confirmations", Rank: "confirmation",
				Share: 0.1, Target: 300 * time.Millisecond, Worth: 100, Timeout: 6 * time.Second, NonIdempotent: true,
			},
			{
				Name: "booking", Method: http.MethodPost, Path: "/plan/%s/bookings", Rank: "booking",
				Share: 0.25, Target: time.Second, Worth: 20, Timeout: 10 * time.Second, NonIdempotent: true,
			},
			{
				Name: "layout", Method: http.MethodGet, Path: "/plan/%s/layout", Rank: "layout",
				Share: 0.65, Target: 500 * time.Millisecond, Worth: 1, Timeout: 4 * time.Second,
			},
		},
	}
}

// Kingston returns the workload of the Window Services Authority.
func Kingston() Workload {
	return Workload{
		Name: "kingston", Keys: 1500, Skew: 1.05,
		Calls: []Call{
			{
				Name: "charge", Method: http.MethodPost, Path: "/billing/charges", Rank: "sign-off",
				Share: 0.05, Target: 300 * time.Millisecond, Worth: 60, Timeout: 6 * time.Second, NonIdempotent: true,
			},
			{
				Name: "sign-off", Method: http.MethodPost, Path: "/rounds/%s/sign-off", Rank: "sign-off",
				Share: 0.25, Target: 300 * time.Millisecond, Worth: 60, Timeout: 10 * time.Second, NonIdempotent: true,
			},
			{
				Name: "round-sheet", Method: http.MethodGet, Path: "/rounds/%s/sheet", Rank: "round-sheet",
				Share: 0.6, Target: 250 * time.Millisecond, Worth: 40, Timeout: 4 * time.Second,
			},
			{
				Name: "overview", Method: http.MethodGet, Path: "/billing/overview", Rank: "overview",
				Share: 0.1, Target: time.Second, Worth: 1, Timeout: 4 * time.Second,
			},
		},
	}
}

// WorkloadByName returns the workload with the given name.
func WorkloadByName(name string) (Workload, error) {
	for _, workload := range []Workload{Gauteng(), Kingston()} {
		if workload.Name == name {
			return workload, nil
		}
	}
	return Workload{}, fmt.Errorf("unknown workload shape %q: must be gauteng or kingston", name)
}

// sampler draws calls and keys at random from a fixed seed.
type sampler struct {
	workload Workload
	random   *rand.Rand
	zipf     *rand.Zipf
}

func newSampler(workload Workload, seed uint64) *sampler {
	random := rand.New(rand.NewPCG(seed, 0))
	return &sampler{
		workload: workload,
		random:   random,
		zipf:     rand.NewZipf(random, workload.Skew, 4, uint64(workload.Keys-1)),
	}
}

// next draws a call by the shares of the workload, and a path with a random key.
func (s *sampler) next() (Call, string) {
	remaining := s.random.Float64() * s.totalShare()
	for _, call := range s.workload.Calls {
		if remaining < call.Share {
			return call, s.path(call)
		}
		remaining -= call.Share
	}
	last := s.workload.Calls[len(s.workload.Calls)-1]
	return last, s.path(last)
}

func (s *sampler) totalShare() float64 {
	total := 0.0
	for _, call := range s.workload.Calls {
		total += call.Share
	}
	return total
}

func (s *sampler) path(call Call) string {
	return strings.ReplaceAll(call.Path, "%s", fmt.Sprintf("key-%d", s.zipf.Uint64()))
}

package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Call is one kind of request.
type Call struct {
	Name          string
	Method        string
	Path          string // %s stands for the key
	Rank          string
	Share         float64 // of all requests
	Target        time.Duration
	Worth         float64
	Timeout       time.Duration // how long the caller waits, resends included
	NonIdempotent bool
}

// Workload is the work of one user.
type Workload struct {
	Name  string
	Calls []Call
	Keys  int
	Skew  float64 // exponent of the Zipf law by which keys are chosen, above 1
}

// Gauteng is the work of the Hanging Office.
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

// Kingston is the work of the Window Services Authority.
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

// WorkloadByName returns a shape by name.
func WorkloadByName(name string) (Workload, error) {
	for _, shape := range []Workload{Gauteng(), Kingston()} {
		if shape.Name == name {
			return shape, nil
		}
	}
	return Workload{}, fmt.Errorf("shape %q is neither gauteng nor kingston", name)
}

// drawer picks calls and keys at random from a fixed seed.
type drawer struct {
	shape  Workload
	random *rand.Rand
	zipf   *rand.Zipf
}

func newDrawer(shape Workload, seed uint64) *drawer {
	random := rand.New(rand.NewPCG(seed, 0))
	return &drawer{
		shape:  shape,
		random: random,
		zipf:   rand.NewZipf(random, shape.Skew, 4, uint64(shape.Keys-1)),
	}
}

// next returns a call and its path.
func (d *drawer) next() (Call, string) {
	point := d.random.Float64() * d.total()
	for _, call := range d.shape.Calls {
		if point < call.Share {
			return call, d.path(call)
		}
		point -= call.Share
	}
	last := d.shape.Calls[len(d.shape.Calls)-1]
	return last, d.path(last)
}

func (d *drawer) total() float64 {
	total := 0.0
	for _, call := range d.shape.Calls {
		total += call.Share
	}
	return total
}

func (d *drawer) path(call Call) string {
	return strings.ReplaceAll(call.Path, "%s", fmt.Sprintf("key-%d", d.zipf.Uint64()))
}

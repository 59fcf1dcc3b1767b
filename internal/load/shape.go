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
	Name      string
	Method    string
	Path      string // %s stands for the key
	Rank      string
	Share     float64 // of all requests
	Target    time.Duration
	Worth     float64
	Patience  time.Duration // how long the caller waits, resends included
	Exclusive bool
}

// Shape is the work of one user.
type Shape struct {
	Name  string
	Calls []Call
	Keys  int
	Skew  float64 // exponent of the Zipf law by which keys are chosen, above 1
}

// Gauteng is the work of the Hanging Office.
func Gauteng() Shape {
	return Shape{
		Name: "gauteng", Keys: 2000, Skew: 1.1,
		Calls: []Call{
			{
				Name: "confirmation", Method: http.MethodPost, Path: "/commission/confirmations", Rank: "confirmation",
				Share: 0.1, Target: 300 * time.Millisecond, Worth: 100, Patience: 6 * time.Second, Exclusive: true,
			},
			{
				Name: "booking", Method: http.MethodPost, Path: "/plan/%s/bookings", Rank: "booking",
				Share: 0.25, Target: time.Second, Worth: 20, Patience: 10 * time.Second, Exclusive: true,
			},
			{
				Name: "layout", Method: http.MethodGet, Path: "/plan/%s/layout", Rank: "layout",
				Share: 0.65, Target: 500 * time.Millisecond, Worth: 1, Patience: 4 * time.Second,
			},
		},
	}
}

// Kingston is the work of the Window Services Authority.
func Kingston() Shape {
	return Shape{
		Name: "kingston", Keys: 1500, Skew: 1.05,
		Calls: []Call{
			{
				Name: "charge", Method: http.MethodPost, Path: "/billing/charges", Rank: "sign-off",
				Share: 0.05, Target: 300 * time.Millisecond, Worth: 60, Patience: 6 * time.Second, Exclusive: true,
			},
			{
				Name: "sign-off", Method: http.MethodPost, Path: "/rounds/%s/sign-off", Rank: "sign-off",
				Share: 0.25, Target: 300 * time.Millisecond, Worth: 60, Patience: 10 * time.Second, Exclusive: true,
			},
			{
				Name: "round-sheet", Method: http.MethodGet, Path: "/rounds/%s/sheet", Rank: "round-sheet",
				Share: 0.6, Target: 250 * time.Millisecond, Worth: 40, Patience: 4 * time.Second,
			},
			{
				Name: "overview", Method: http.MethodGet, Path: "/billing/overview", Rank: "overview",
				Share: 0.1, Target: time.Second, Worth: 1, Patience: 4 * time.Second,
			},
		},
	}
}

// ShapeNamed returns a shape by name.
func ShapeNamed(name string) (Shape, error) {
	for _, shape := range []Shape{Gauteng(), Kingston()} {
		if shape.Name == name {
			return shape, nil
		}
	}
	return Shape{}, fmt.Errorf("shape %q is neither gauteng nor kingston", name)
}

// drawer picks calls and keys at random from a fixed seed.
type drawer struct {
	shape  Shape
	random *rand.Rand
	zipf   *rand.Zipf
}

func newDrawer(shape Shape, seed uint64) *drawer {
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

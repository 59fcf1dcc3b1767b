package keyed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Hundreds of hosts report single requests, whose work differs. The average must not follow each of them: the capacity
// that it gives an upstream decides which keys move.
func TestServiceTimeOfManyHosts(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 0))
	const usual = 220 * time.Millisecond
	deviation := func(samples int) float64 {
		times := NewServiceTimes()
		squares, count := 0.0, 0
		for i := range 4000 / samples {
			measured := ServiceTime{Samples: samples}
			for range samples {
				work := float64(usual) * math.Exp(0.3*random.NormFloat64())
				if random.IntN(100) == 0 {
					work *= 5
				}
				measured.Total += time.Duration(work)
			}
			times.Add("u", measured)
			if i > 400/samples {
				relative := float64(times.byID["u"].mean)/float64(usual) - 1
				squares += relative * relative
				count++
			}
		}
		return math.Sqrt(squares / float64(count))
	}
	single, joined := deviation(1), deviation(20)
	t.Logf("deviation of single requests %.3f, of twenty %.3f", single, joined)
	is.True(single < 0.15)
	is.True(joined < 0.15)
	times := NewServiceTimes()
	times.Add("u", ServiceTime{})
	is.Equal(len(times.byID), 0)
}

// An upstream that is still slow after its start gets no keys of others while there are others, and takes part in the
// first assignment.
func TestWarmingUpstreamGetsKeysLater(t *testing.T) {
	is := is.New(t)
	upstreams := append(readyUpstreams("a", "b"), Upstream{Instance: newInstance("new", 1), Capacity: 2, IsReady: true, IsWarming: true, ReleaseIsImmediate: true})
	planner := NewPlanner("s")
	is.Equal(len(planner.Plan(start, equalRanges("a", "b"), upstreams, &Loads{}, nil, noneMoving).Moves), 0)
	upstreams[2].IsWarming = false
	plan := planner.Plan(start.Add(time.Second), equalRanges("a", "b"), upstreams, &Loads{}, nil, noneMoving)
	is.True(len(plan.Moves) > 0)
	is.Equal(plan.Moves[0].Parts[0].NextOwner.ID, "new")

	upstreams[2].IsWarming = true
	got := false
	for _, a := range NewPlanner("s").Plan(start, nil, upstreams, &Loads{}, nil, noneMoving).Assignments {
		got = got || a.Owner.ID == "new"
	}
	is.True(got)
}

// The speed of an upstream is known after a few requests: the average of the first ones counts each of them alike.
func TestServiceTimeIsKnownSoon(t *testing.T) {
	is := is.New(t)
	times := NewServiceTimes()
	for _, millis := range []int{900, 200, 210, 190, 200, 220, 180, 200, 205, 195} { // the first one has an unusual request
		times.Add("u", ServiceTime{Total: time.Duration(millis) * time.Millisecond, Samples: 1})
	}
	is.True(times.byID["u"].mean < 290*time.Millisecond && times.byID["u"].mean > 190*time.Millisecond)
	for range 200 { // it has become twice as fast
		times.Add("u", ServiceTime{Total: 100 * time.Millisecond, Samples: 1})
	}
	is.True(times.byID["u"].mean < 110*time.Millisecond)
}

// Upstreams that have just been added don't make all others seem overloaded while they get no keys.
func TestWarmingUpstreamsAreNoCapacity(t *testing.T) {
	is := is.New(t)
	upstreams := readyUpstreams("a", "b", "c", "d")
	before := newPlanState(equalRanges("a", "b", "c", "d"), upstreams, &Loads{}).meanLevel
	for _, id := range []string{"x", "y"} {
		upstreams = append(upstreams, Upstream{Instance: newInstance(id, 1), Capacity: 2, IsReady: true, IsWarming: true, ReleaseIsImmediate: true})
	}
	is.Equal(newPlanState(equalRanges("a", "b", "c", "d"), upstreams, &Loads{}).meanLevel, before)
}

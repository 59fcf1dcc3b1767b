package keyed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/realm"
)

// The load of a deployment with hundreds of hosts: 4,300 requests a second by key for 880 upstreams of different
// speeds, which are busy for 0.58 of their time if the load is spread evenly. The busier a key the lower its number, and
// for some seconds a third of the requests is for 200 keys.
const (
	manyOwners  = 880
	ratePerSec  = 4300
	utilization = 0.58
	hotShare    = 0.35
	hotKeys     = 200
	hotFrom     = 8 * time.Second
	hotUntil    = 13 * time.Second
	simulated   = 20 * time.Second
	reportEvery = 300 * time.Millisecond
	planEvery   = 100 * time.Millisecond
	moveTime    = 300 * time.Millisecond // from the plan until the next owner serves
)

// keyLoad returns the share of the requests for each key at a time.
func keyLoad(since time.Duration) []float64 {
	weights := make([]float64, 65536)
	total := 0.0
	for key := range weights {
		weights[key] = math.Pow(float64(key+1), -0.3)
		total += weights[key]
	}
	isHot := since >= hotFrom && since < hotUntil
	for key := range weights {
		weights[key] /= total
		if isHot {
			weights[key] *= 1 - hotShare
			if key >= 30000 && key < 30000+hotKeys {
				weights[key] += hotShare / hotKeys
			}
		}
	}
	return weights
}

// sumsOf returns the sums of the weights of all keys below each key.
func sumsOf(weights []float64) []float64 {
	sums := make([]float64, len(weights)+1)
	for key, weight := range weights {
		sums[key+1] = sums[key] + weight
	}
	return sums
}

// hotPartOfLastSecond returns the part of the second before a time in which the busy keys are busy.
func hotPartOfLastSecond(since time.Duration) float64 {
	overlap := min(since, hotUntil) - max(since-time.Second, hotFrom)
	return max(0, overlap.Seconds())
}

// lateMove is a move that takes effect at a time.
type lateMove struct {
	at   time.Time
	move Move
}

// excess runs the planner over the load and returns the share of the requests that are beyond the capacity of the owners
// of their keys, by second. Without a planner the keys stay where they are first.
func excess(withPlanner bool) (bySecond []float64, moved int) {
	random := rand.New(rand.NewPCG(3, 0))
	var upstreams []Upstream
	totalSpeed := 0.0
	for i := range manyOwners {
		speed := []float64{0.5, 1, 1, 1.5}[random.IntN(4)]
		totalSpeed += speed
		upstreams = append(upstreams, Upstream{Instance: newInstance(fmt.Sprintf("u%03d", i), 1), Capacity: 2 * speed, IsReady: true, ReleaseIsImmediate: true})
	}
	planner := NewPlanner("s")
	var ranges realm.Ranges
	for _, a := range planner.Plan(start, nil, upstreams, &Loads{}, nil, noneMoving).Assignments {
		ranges = ranges.Put(realm.Range{KeyRange: a.Keys, Owner: a.Owner, FencingToken: 1, Active: true})
	}
	var loads Loads
	var pending []lateMove
	quiet, hot := keyLoad(0), keyLoad(hotFrom)
	quietSums, hotSums := sumsOf(quiet), sumsOf(hot)
	bySecond = make([]float64, simulated/time.Second)
	for since := time.Duration(0); since < simulated; since += planEvery {
		now := start.Add(since)
		sums := quietSums
		if since >= hotFrom && since < hotUntil {
			sums = hotSums
		}
		if since%reportEvery == 0 {
			counts := make(map[int]int)
			hotPart := hotPartOfLastSecond(since)
			for key := range quiet {
				// A part of the hosts reports, each what it has counted in the last second.
				expected := (quiet[key]*(1-hotPart) + hot[key]*hotPart) * ratePerSec * reportEvery.Seconds()
				n := int(expected)
				if random.Float64() < expected-float64(n) {
					n++
				}
				counts[Bucket(uint16(key))] += n
			}
			loads.Add(now, counts)
		}
		for len(pending) > 0 && !pending[0].at.After(now) {
			m := pending[0].move
			pending = pending[1:]
			for _, part := range m.Parts {
				ranges = ranges.Put(realm.Range{KeyRange: part.Keys, Owner: part.NextOwner, FencingToken: uint64(since), Active: true})
			}
		}
		if withPlanner {
			isMoving := func(keys realm.KeyRange) bool {
				for _, p := range pending {
					if p.move.Keys.Overlaps(keys) {
						return true
					}
				}
				return false
			}
			for _, m := range planner.Plan(now, ranges, upstreams, &loads, nil, isMoving).Moves {
				pending = append(pending, lateMove{now.Add(moveTime), m})
				ranges = ranges.Put(realm.Range{KeyRange: m.Keys, Owner: m.Owner, FencingToken: m.FencingToken}) // inactive
				moved += m.Keys.Size()
			}
		}
		load := make(map[realm.Instance]float64)
		for _, r := range ranges {
			load[r.Owner] += sums[int(r.To)+1] - sums[r.From]
		}
		over := 0.0
		for _, u := range upstreams {
			over += max(0, load[u.Instance]-u.Capacity/2/totalSpeed/utilization)
		}
		bySecond[since/time.Second] += over / float64(time.Second/planEvery)
	}
	return bySecond, moved
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Guards against keys that stay where they were first: with hundreds of owners the few moves that spread the load of a
// small service take minutes.
func TestLoadOfManyOwnersIsSpreadInSeconds(t *testing.T) {
	is := is.New(t)
	planned, moved := excess(true)
	still, _ := excess(false)
	t.Logf("beyond capacity with the planner %.3f, without %.3f; keys moved %d", planned, still, moved)
	is.True(mean(planned[4:8]) < mean(still[4:8])/4)     // the usual load, after some seconds
	is.True(mean(planned[10:13]) < mean(still[10:13])/2) // 200 busy keys
	is.True(mean(planned[16:]) < mean(still[16:])/4)     // and back
	is.True(moved < 65536)
}

// Where the work of a request takes long, a move makes the requests for its keys wait as long, so that few keys move at a
// time even with hundreds of owners.
func TestSlowWorkMovesFewKeys(t *testing.T) {
	is := is.New(t)
	s := &planState{ready: make([]realm.Instance, 386)}
	pace := func(work time.Duration) float64 {
		p := NewPlanner("s")
		p.SetWork(work)
		moves, interval := p.pace(s)
		return float64(moves) / interval.Seconds()
	}
	is.True(pace(160*time.Millisecond) > 150)
	is.True(pace(700*time.Millisecond) < 15)
	is.True(pace(time.Minute) >= minBalanceMoves/balanceInterval.Seconds())
}

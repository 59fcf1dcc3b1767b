package keyed

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/realm"
)

// beyondLimits returns the requests per second beyond what the owners of their keys take, in the last seconds of a day in
// which 19 of 27 owners suddenly take half of what they got. All keys are asked for alike, 200 times a second together.
func beyondLimits(planKnowsLimits bool) float64 {
	const owners, limited, perSecond, work = 27, 19, 200.0, 130 * time.Millisecond
	usual := perSecond / owners
	limit := usual / 2
	var upstreams []Upstream
	for i := range owners {
		upstreams = append(upstreams, Upstream{Instance: newInstance(fmt.Sprintf("u%02d", i), 1), Capacity: 2, IsReady: true, ReleaseIsImmediate: true})
	}
	planner := NewPlanner("s")
	planner.SetWork(work)
	var ranges realm.Ranges
	for _, a := range planner.Plan(start, nil, upstreams, &Loads{}, nil, noneMoving).Assignments {
		ranges = ranges.Put(realm.Range{KeyRange: a.Keys, Owner: a.Owner, FencingToken: 1, Active: true})
	}
	var loads Loads
	var pending []lateMove
	for since := time.Duration(0); since < 14*time.Second; since += planEvery {
		now := start.Add(since)
		if since == 6*time.Second && planKnowsLimits {
			for i := range limited {
				upstreams[i].Capacity = Limited(upstreams[i].Capacity, limit, work)
			}
		}
		if since%reportEvery == 0 {
			counts := make(map[int]int)
			for request := range int(perSecond * reportEvery.Seconds()) {
				counts[Bucket(uint16(request*65536/int(perSecond*reportEvery.Seconds())))]++
			}
			loads.Add(now, counts)
		}
		for len(pending) > 0 && !pending[0].at.After(now) {
			for _, part := range pending[0].move.Parts {
				ranges = ranges.Put(realm.Range{KeyRange: part.Keys, Owner: part.NextOwner, FencingToken: uint64(since), Active: true})
			}
			pending = pending[1:]
		}
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
			ranges = ranges.Put(realm.Range{KeyRange: m.Keys, Owner: m.Owner, FencingToken: m.FencingToken})
		}
	}
	demand := make(map[realm.Instance]float64)
	for _, r := range ranges {
		demand[r.Owner] += perSecond * float64(r.Size()) / 65536
	}
	over := 0.0
	for i := range limited {
		over += max(0, demand[upstreams[i].Instance]-limit)
	}
	return over
}

// Keys move away from owners that take half of what they got, to those that have room. An owner that names a limit looks
// idle otherwise, and keeps its keys: half of the requests for them are refused.
func TestKeysLeaveOwnersWithLimits(t *testing.T) {
	is := is.New(t)
	before, after := beyondLimits(false), beyondLimits(true)
	t.Logf("requests per second beyond the limits: %.1f, and %.1f where the planner knows the limits", before, after)
	is.True(before > 40)
	is.True(after < before/4)
}

// A limit lowers the capacity of an upstream and never raises it; without a measured time of requests it says nothing.
func TestLimited(t *testing.T) {
	is := is.New(t)
	is.Equal(Limited(2, 0, time.Second), 2.0)
	is.Equal(Limited(2, 1, 0), 2.0)
	is.Equal(Limited(2, 1, time.Second), limitShare)
	is.Equal(Limited(2, 100, time.Second), 2.0)
}

package keyed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/realm"
)

var start = time.Unix(1000, 0)

var terms = Terms{TTL: 5 * time.Second, RenewInterval: time.Second, CallTimeout: time.Second}

func newInstance(id string, startMillis int64) realm.Instance {
	return realm.Instance{ID: id, StartMillis: startMillis}
}

func readyUpstreams(ids ...string) []Upstream {
	var upstreams []Upstream
	for _, id := range ids {
		upstreams = append(upstreams, Upstream{Instance: newInstance(id, 1), Capacity: 2, IsReady: true, ReleaseIsImmediate: true})
	}
	return upstreams
}

func noneMoving(realm.KeyRange) bool { return false }

func equalRanges(ids ...string) realm.Ranges {
	var ranges realm.Ranges
	size := 65536 / len(ids)
	for i, id := range ids {
		ranges = append(ranges, realm.Range{
			KeyRange: realm.KeyRange{From: uint16(i * size), To: uint16((i+1)*size - 1)}, Owner: newInstance(id, 1), FencingToken: uint64(10 + i), Active: true,
		})
	}
	ranges[len(ids)-1].To = 65535
	return ranges
}

func TestFirstKeysAreSpreadEvenly(t *testing.T) {
	is := is.New(t)
	plan := NewPlanner("s").Plan(start, nil, readyUpstreams("a", "b", "c"), &Loads{}, nil, noneMoving)
	sizes := make(map[string]int)
	var ranges realm.Ranges
	for _, assignment := range plan.Assignments {
		sizes[assignment.Owner.ID] += assignment.Keys.Size()
		ranges = ranges.Put(realm.Range{KeyRange: assignment.Keys, Owner: assignment.Owner, FencingToken: 1})
	}
	is.Equal(len(ranges.Gaps()), 0)
	for _, size := range sizes {
		is.True(size > 65536/3-600 && size < 65536/3+600)
	}
}

// Guards against two owners of a key after a restart: an upstream restarts under its id while a grant to its previous
// instance is in flight, and the new process accepts that grant. Until no such grant can take effect, the keys go only
// to the new instance.
func TestGrantToEarlierInstanceReachesNext(t *testing.T) {
	is := is.New(t)
	tracker := NewGrantTracker(start, terms, nil)
	old, next := newInstance("a", 1), newInstance("a", 2)
	tracker.RecordPending(old)
	upstreams := readyUpstreams("b")
	grantsExpired := func(instance realm.Instance) bool { return tracker.GrantsExpired(start, instance) }
	plan := NewPlanner("s").Plan(start, equalRanges("a", "b"), upstreams, &Loads{}, grantsExpired, noneMoving)
	is.Equal(len(plan.Assignments), 0) // the successor hasn't joined yet, and a call is in flight

	upstreams = append(upstreams, Upstream{Instance: next, Capacity: 2, IsReady: true})
	plan = NewPlanner("s").Plan(start, equalRanges("a", "b"), upstreams, &Loads{}, grantsExpired, noneMoving)
	is.Equal(len(plan.Assignments), 1)
	is.Equal(plan.Assignments[0].Owner, next)

	tracker.RecordSuccessor(next, old)
	is.True(!tracker.ReleaseIsSafe(start, next))
	tracker.RecordUnknown(start.Add(time.Second), old)
	is.True(!tracker.ReleaseIsSafe(start.Add(6*time.Second), next))
	is.True(tracker.ReleaseIsSafe(start.Add(7*time.Second), next))
}

// The keys of an instance that is no longer registered are reassigned once its grants have expired.
func TestKeysOfAnEndedOwnerAreShared(t *testing.T) {
	is := is.New(t)
	tracker := NewGrantTracker(start, terms, []realm.Instance{newInstance("a", 1)})
	later := start.Add(10 * time.Second)
	for _, now := range []time.Time{start, later} {
		plan := NewPlanner("s").Plan(now, equalRanges("a", "b", "c"), readyUpstreams("b", "c"), &Loads{},
			func(instance realm.Instance) bool { return tracker.GrantsExpired(now, instance) }, noneMoving)
		is.Equal(len(plan.Assignments) > 0, now == later) // a previous leader may have granted them
		for _, assignment := range plan.Assignments {
			is.True(assignment.Owner.ID != "a")
			is.Equal(assignment.ExpectedToken, uint64(10))
		}
	}
}

// The keys of an owner whose address another upstream has are reassigned at once, whatever grants are in flight.
func TestKeysOfAReplacedOwnerAreSharedAtOnce(t *testing.T) {
	is := is.New(t)
	tracker := NewGrantTracker(start, terms, []realm.Instance{newInstance("a", 1)})
	tracker.RecordPending(newInstance("a", 1))
	upstreams := append(readyUpstreams("b", "c"), Upstream{Instance: newInstance("a", 1), IsEnded: true, IsDraining: true})
	plan := NewPlanner("s").Plan(start, equalRanges("a", "b", "c"), upstreams, &Loads{},
		func(instance realm.Instance) bool { return tracker.GrantsExpired(start, instance) }, noneMoving)
	is.True(len(plan.Assignments) > 0)
	for _, assignment := range plan.Assignments {
		is.True(assignment.Owner.ID != "a")
	}
}

// A process at the address of an ended instance refuses its grants. The leader stops sending them, and the keys can be
// reassigned once the last acknowledged grant has expired.
func TestRefusedGrantsEnd(t *testing.T) {
	is := is.New(t)
	tracker := NewGrantTracker(start, terms, nil)
	a := newInstance("a", 1)
	tracker.RecordPending(a)
	tracker.RecordAck(start, a)
	now := start
	for tracker.ShouldGrant(now, a, start) {
		now = now.Add(time.Second)
		tracker.RecordPending(a)
		tracker.RecordRefusal(now, a)
		is.True(now.Sub(start) < 5*time.Second)
	}
	is.True(!tracker.GrantsExpired(start.Add(5*time.Second), a))
	is.True(tracker.GrantsExpired(start.Add(5300*time.Millisecond), a))
}

// Keys move away from a draining upstream, and to an upstream that joins without keys.
func TestDrainingAndNewUpstreams(t *testing.T) {
	is := is.New(t)
	upstreams := readyUpstreams("b", "c")
	upstreams = append(upstreams, Upstream{Instance: newInstance("a", 1), Capacity: 2, IsDraining: true})
	grantsExpired := func(realm.Instance) bool { return false }
	plan := NewPlanner("s").Plan(start, equalRanges("a", "b", "c"), upstreams, &Loads{}, grantsExpired, noneMoving)
	is.Equal(len(plan.Moves), 1)
	is.Equal(plan.Moves[0].Owner.ID, "a")
	plan = NewPlanner("s").Plan(start, equalRanges("b", "c"), readyUpstreams("b", "c", "new"), &Loads{}, grantsExpired, noneMoving)
	is.True(len(plan.Moves) > 0)
	is.Equal(plan.Moves[0].Parts[0].NextOwner.ID, "new")
}

// Rebalancing moves no keys while a grant without a known outcome may still take effect after their release.
func TestBalanceWaitsForGrantsThatMayStillTakeEffect(t *testing.T) {
	is := is.New(t)
	tracker := NewGrantTracker(start, terms, nil)
	b := newInstance("b", 1)
	tracker.RecordPending(b)
	tracker.RecordUnknown(start, b)
	for _, now := range []time.Time{start.Add(time.Second), start.Add(6 * time.Second)} {
		upstreams := readyUpstreams("b", "new")
		upstreams[0].ReleaseIsImmediate = tracker.ReleaseIsImmediate(now, b)
		plan := NewPlanner("s").Plan(now, equalRanges("b"), upstreams, &Loads{}, nil, noneMoving)
		is.Equal(len(plan.Moves) > 0, now.Sub(start) > 5*time.Second)
	}
}

// Busy keys lie close together, and upstreams differ in speed. Without moves the highest level stays at several times
// the mean; after some rounds of rebalancing it must be near the mean.
func TestBusyKeysAreSpread(t *testing.T) {
	is := is.New(t)
	var loads Loads
	counts := make(map[int]int)
	const parts = 256 // of the keys
	for part := range parts {
		counts[part*Buckets/parts] = 10
	}
	for part := 40; part < 60; part++ {
		counts[part*Buckets/parts] = 150
	}
	loads.Add(start, counts)
	var upstreams []Upstream
	var ids []string
	for i := range 12 {
		ids = append(ids, fmt.Sprint("u", i))
		upstreams = append(upstreams, Upstream{Instance: newInstance(ids[i], 1), Capacity: []float64{1, 2, 2.8}[i%3], IsReady: true, ReleaseIsImmediate: true})
	}
	ranges := equalRanges(ids...)
	before := newPlanState(ranges, upstreams, &loads).highestLevel()
	planner := NewPlanner("s")
	moved := 0
	for round := range 40 {
		plan := planner.Plan(start.Add(time.Duration(round)*time.Second), ranges, upstreams, &loads, nil, noneMoving)
		for _, m := range plan.Moves {
			moved += m.Keys.Size()
			for _, part := range m.Parts {
				ranges = ranges.Put(realm.Range{KeyRange: part.Keys, Owner: part.NextOwner, FencingToken: uint64(100 + round), Active: true})
			}
		}
	}
	after := newPlanState(ranges, upstreams, &loads).highestLevel()
	t.Logf("worst before %.2f, after %.2f, keys moved %d", before, after, moved)
	is.True(before > 3)
	is.True(after < overloadedRatio+0.1)
	is.True(moved < 65536) // no key moved more than once on average
}

// highestLevel returns the highest level of an upstream relative to the mean.
func (s *planState) highestLevel() float64 {
	highest := 0.0
	for _, instance := range s.ready {
		highest = max(highest, s.level(instance)/s.meanLevel)
	}
	return highest
}

// Keys of a single unresponsive upstream are reassigned when its grants have expired; those of a whole zone that is cut
// off stay for longer than most partitions last.
func TestCutZoneKeepsItsKeys(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	upstreams := readyUpstreams("a", "b", "c", "d")
	for i := range upstreams {
		upstreams[i].Zone = []string{"near", "near", "far", "far"}[i]
	}
	plan := func(failing time.Duration, lost ...int) Plan {
		all := slices.Clone(upstreams)
		for _, i := range lost {
			all[i].IsReady, all[i].IsUnresponsive, all[i].Failing = false, true, failing
		}
		return NewPlanner("s").Plan(now, equalRanges("a", "b", "c", "d"), all, &Loads{}, func(realm.Instance) bool { return true }, noneMoving)
	}
	is.True(len(plan(3*time.Second, 2).Assignments) > 0)
	is.Equal(len(plan(partitionTimeout-time.Millisecond, 2, 3).Assignments), 0)
	is.True(len(plan(partitionTimeout, 2, 3).Assignments) > 0)
	is.True(len(plan(3*time.Second, 0, 2, 3).Assignments) > 0) // the keys of a, in whose zone b acknowledges grants
}

// Guards against a takeover at the end of a partition: when the first owner in a zone acknowledges grants again, the
// other owners there must not lose their keys before their grants are retried.
func TestHealedZoneKeepsItsKeys(t *testing.T) {
	is := is.New(t)
	upstreams := readyUpstreams("a", "b", "c", "d")
	for i := range upstreams {
		upstreams[i].Zone = []string{"near", "near", "far", "far"}[i]
	}
	planner := NewPlanner("s")
	plan := func(now time.Time, lost ...int) Plan {
		all := slices.Clone(upstreams)
		for _, i := range lost {
			all[i].IsReady, all[i].IsUnresponsive, all[i].Failing = false, true, 5*time.Second
		}
		return planner.Plan(now, equalRanges("a", "b", "c", "d"), all, &Loads{}, func(realm.Instance) bool { return true }, noneMoving)
	}
	is.Equal(len(plan(start, 2, 3).Assignments), 0)
	is.Equal(len(plan(start.Add(100*time.Millisecond), 3).Assignments), 0)
	is.True(len(plan(start.Add(healWindow+100*time.Millisecond), 3).Assignments) > 0)
}

// A grant that could not be sent prolongs nothing, and grants are retried until the upstream is reachable.
func TestUnreachableProlongsNoGrant(t *testing.T) {
	is := is.New(t)
	terms := Terms{TTL: 5 * time.Second, RenewInterval: time.Second, CallTimeout: time.Second}
	begin, a := time.Unix(1000, 0), newInstance("a", 1)
	tracker := NewGrantTracker(begin, terms, nil)
	tracker.RecordPending(a)
	tracker.RecordAck(begin, a)
	now := begin
	for ; !tracker.GrantsExpired(now, a); now = now.Add(500 * time.Millisecond) {
		is.True(tracker.ShouldGrant(now, a, begin))
		tracker.RecordPending(a)
		tracker.RecordUnreachable(now, a)
	}
	is.True(now.Sub(begin) < 6*time.Second)
	is.True(tracker.IsUnresponsive(now, a, begin))
	is.True(!tracker.IsUnresponsive(begin.Add(time.Second), a, begin))
}

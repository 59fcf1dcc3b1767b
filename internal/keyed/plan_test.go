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

func life(id string, born int64) realm.Instance { return realm.Instance{ID: id, StartMillis: born} }

func ready(ids ...string) []Upstream {
	var upstreams []Upstream
	for _, id := range ids {
		upstreams = append(upstreams, Upstream{Instance: life(id, 1), Capacity: 2, IsReady: true, ReleaseIsImmediate: true})
	}
	return upstreams
}

func none(realm.KeyRange) bool { return false }

func owned(ids ...string) realm.Ranges {
	var ranges realm.Ranges
	size := 65536 / len(ids)
	for i, id := range ids {
		ranges = append(ranges, realm.Range{
			KeyRange: realm.KeyRange{From: uint16(i * size), To: uint16((i+1)*size - 1)}, Owner: life(id, 1), FencingToken: uint64(10 + i), Active: true,
		})
	}
	ranges[len(ids)-1].To = 65535
	return ranges
}

func TestFirstKeysAreSpreadEvenly(t *testing.T) {
	is := is.New(t)
	plan := NewPlanner("s").Plan(start, nil, ready("a", "b", "c"), &Loads{}, nil, none)
	sizes := make(map[string]int)
	var ranges realm.Ranges
	for _, one := range plan.Assignments {
		sizes[one.Owner.ID] += one.Keys.Size()
		ranges = ranges.Put(realm.Range{KeyRange: one.Keys, Owner: one.Owner, FencingToken: 1})
	}
	is.Equal(len(ranges.Gaps()), 0)
	for _, size := range sizes {
		is.True(size > 65536/3-600 && size < 65536/3+600)
	}
}

// An upstream starts again under its id while a grant to its earlier life is on its way. The new process takes that
// grant, so its keys go to it and to nobody else until nothing that was sent can take effect.
func TestGrantToEarlierLifeReachesTheNext(t *testing.T) {
	is := is.New(t)
	book := NewGrantTracker(start, terms, nil)
	old, next := life("a", 1), life("a", 2)
	book.RecordPending(old)
	upstreams := ready("b")
	isFree := func(l realm.Instance) bool { return book.GrantsExpired(start, l) }
	plan := NewPlanner("s").Plan(start, owned("a", "b"), upstreams, &Loads{}, isFree, none)
	is.Equal(len(plan.Assignments), 0) // its successor is not there yet, and a call is under way

	upstreams = append(upstreams, Upstream{Instance: next, Capacity: 2, IsReady: true})
	plan = NewPlanner("s").Plan(start, owned("a", "b"), upstreams, &Loads{}, isFree, none)
	is.Equal(len(plan.Assignments), 1)
	is.Equal(plan.Assignments[0].Owner, next)

	book.RecordSuccessor(next, old)
	is.True(!book.ReleaseIsSafe(start, next))
	book.RecordUnknown(start.Add(time.Second), old)
	is.True(!book.ReleaseIsSafe(start.Add(6*time.Second), next))
	is.True(book.ReleaseIsSafe(start.Add(7*time.Second), next))
}

// The keys of an upstream that has ended elsewhere are shared once its grants are over.
func TestKeysOfAnEndedOwnerAreShared(t *testing.T) {
	is := is.New(t)
	book := NewGrantTracker(start, terms, []realm.Instance{life("a", 1)})
	later := start.Add(10 * time.Second)
	for _, now := range []time.Time{start, later} {
		plan := NewPlanner("s").Plan(now, owned("a", "b", "c"), ready("b", "c"), &Loads{},
			func(l realm.Instance) bool { return book.GrantsExpired(now, l) }, none)
		is.Equal(len(plan.Assignments) > 0, now == later) // a former leader may have granted them
		for _, one := range plan.Assignments {
			is.True(one.Owner.ID != "a")
			is.Equal(one.ExpectedToken, uint64(10))
		}
	}
}

// The keys of one whose address another upstream has are shared at once, whatever was sent to it.
func TestKeysOfAReplacedOwnerAreSharedAtOnce(t *testing.T) {
	is := is.New(t)
	book := NewGrantTracker(start, terms, []realm.Instance{life("a", 1)})
	book.RecordPending(life("a", 1))
	upstreams := append(ready("b", "c"), Upstream{Instance: life("a", 1), IsEnded: true, IsDraining: true})
	plan := NewPlanner("s").Plan(start, owned("a", "b", "c"), upstreams, &Loads{},
		func(l realm.Instance) bool { return book.GrantsExpired(start, l) }, none)
	is.True(len(plan.Assignments) > 0)
	for _, one := range plan.Assignments {
		is.True(one.Owner.ID != "a")
	}
}

// A process that refuses grants, since it has the address of one that has ended, is sent none after a while, and the keys
// are free once the last grant that was taken is over.
func TestRefusedGrantsEnd(t *testing.T) {
	is := is.New(t)
	book := NewGrantTracker(start, terms, nil)
	a := life("a", 1)
	book.RecordPending(a)
	book.RecordAck(start, a)
	now := start
	for book.ShouldGrant(now, a, start) {
		now = now.Add(time.Second)
		book.RecordPending(a)
		book.RecordRefusal(now, a)
		is.True(now.Sub(start) < 5*time.Second)
	}
	is.True(!book.GrantsExpired(start.Add(5*time.Second), a))
	is.True(book.GrantsExpired(start.Add(5300*time.Millisecond), a))
}

// Leavers give their keys up, and those that join empty get some.
func TestLeaversAndNewcomers(t *testing.T) {
	is := is.New(t)
	upstreams := ready("b", "c")
	upstreams = append(upstreams, Upstream{Instance: life("a", 1), Capacity: 2, IsDraining: true})
	free := func(realm.Instance) bool { return false }
	plan := NewPlanner("s").Plan(start, owned("a", "b", "c"), upstreams, &Loads{}, free, none)
	is.Equal(len(plan.Moves), 1)
	is.Equal(plan.Moves[0].Owner.ID, "a")
	plan = NewPlanner("s").Plan(start, owned("b", "c"), ready("b", "c", "new"), &Loads{}, free, none)
	is.True(len(plan.Moves) > 0)
	is.Equal(plan.Moves[0].NextOwner.ID, "new")
}

// Keys whose release would not free them at once stay where they are for the sake of balance alone.
func TestBalanceWaitsForGrantsThatMayStillTakeEffect(t *testing.T) {
	is := is.New(t)
	book := NewGrantTracker(start, terms, nil)
	b := life("b", 1)
	book.RecordPending(b)
	book.RecordUnknown(start, b)
	for _, now := range []time.Time{start.Add(time.Second), start.Add(6 * time.Second)} {
		upstreams := ready("b", "new")
		upstreams[0].ReleaseIsImmediate = book.ReleaseIsImmediate(now, b)
		plan := NewPlanner("s").Plan(now, owned("b"), upstreams, &Loads{}, nil, none)
		is.Equal(len(plan.Moves) > 0, now.Sub(start) > 5*time.Second)
	}
}

// A load with busy keys close together, on upstreams of uneven speed: after some rounds the busiest is near the mean,
// apart from a single key that nobody can share. Without moves it stays several times above.
func TestBusyKeysAreSpread(t *testing.T) {
	is := is.New(t)
	var loads Loads
	counts := make(map[int]int)
	for bucket := range Buckets {
		counts[bucket] = 10
	}
	for bucket := 40; bucket < 60; bucket++ {
		counts[bucket] = 150
	}
	loads.Add(start, counts)
	var upstreams []Upstream
	var ids []string
	for i := range 12 {
		ids = append(ids, fmt.Sprint("u", i))
		upstreams = append(upstreams, Upstream{Instance: life(ids[i], 1), Capacity: []float64{1, 2, 2.8}[i%3], IsReady: true, ReleaseIsImmediate: true})
	}
	ranges := owned(ids...)
	before := newField(ranges, upstreams, &loads).worst()
	planner := NewPlanner("s")
	moved := 0
	for round := range 40 {
		plan := planner.Plan(start.Add(time.Duration(round)*time.Second), ranges, upstreams, &loads, nil, none)
		for _, m := range plan.Moves {
			moved += m.Keys.Size()
			ranges = ranges.Put(realm.Range{KeyRange: m.Keys, Owner: m.NextOwner, FencingToken: uint64(100 + round), Active: true})
		}
	}
	after := newField(ranges, upstreams, &loads).worst()
	t.Logf("worst before %.2f, after %.2f, keys moved %d", before, after, moved)
	is.True(before > 3)
	is.True(after < tooMuch+0.1)
	is.True(moved < 65536) // no key moved more than once on average
}

// worst is the highest level over the mean.
func (f *field) worst() float64 {
	worst := 0.0
	for _, one := range f.ready {
		worst = max(worst, f.level(one)/f.mean)
	}
	return worst
}

// Keys of an upstream that is lost alone go to others when its grants have ended; those of a whole zone that is cut off
// wait for longer than a cut mostly lasts.
func TestCutZoneKeepsItsKeys(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	upstreams := ready("a", "b", "c", "d")
	for i := range upstreams {
		upstreams[i].Zone = []string{"near", "near", "far", "far"}[i]
	}
	plan := func(failing time.Duration, lost ...int) Plan {
		all := slices.Clone(upstreams)
		for _, i := range lost {
			all[i].IsReady, all[i].IsUnresponsive, all[i].Failing = false, true, failing
		}
		return NewPlanner("s").Plan(now, owned("a", "b", "c", "d"), all, &Loads{}, func(realm.Instance) bool { return true }, none)
	}
	is.True(len(plan(3*time.Second, 2).Assignments) > 0)
	is.Equal(len(plan(cutPatience-time.Millisecond, 2, 3).Assignments), 0)
	is.True(len(plan(cutPatience, 2, 3).Assignments) > 0)
	is.True(len(plan(3*time.Second, 0, 2, 3).Assignments) > 0) // the keys of a, whose zone still takes grants
}

// When a cut ends, the first owner that takes grants again does not cost the others of its zone their keys.
func TestHealedZoneKeepsItsKeys(t *testing.T) {
	is := is.New(t)
	upstreams := ready("a", "b", "c", "d")
	for i := range upstreams {
		upstreams[i].Zone = []string{"near", "near", "far", "far"}[i]
	}
	planner := NewPlanner("s")
	plan := func(now time.Time, lost ...int) Plan {
		all := slices.Clone(upstreams)
		for _, i := range lost {
			all[i].IsReady, all[i].IsUnresponsive, all[i].Failing = false, true, 5*time.Second
		}
		return planner.Plan(now, owned("a", "b", "c", "d"), all, &Loads{}, func(realm.Instance) bool { return true }, none)
	}
	is.Equal(len(plan(start, 2, 3).Assignments), 0)
	is.Equal(len(plan(start.Add(100*time.Millisecond), 3).Assignments), 0)
	is.True(len(plan(start.Add(healTime+100*time.Millisecond), 3).Assignments) > 0)
}

// What could not be sent prolongs no grant, and is tried again until it can be sent.
func TestUnreachedProlongsNothing(t *testing.T) {
	is := is.New(t)
	terms := Terms{TTL: 5 * time.Second, RenewInterval: time.Second, CallTimeout: time.Second}
	begin, a := time.Unix(1000, 0), life("a", 1)
	book := NewGrantTracker(begin, terms, nil)
	book.RecordPending(a)
	book.RecordAck(begin, a)
	now := begin
	for ; !book.GrantsExpired(now, a); now = now.Add(500 * time.Millisecond) {
		is.True(book.ShouldGrant(now, a, begin))
		book.RecordPending(a)
		book.RecordUnreachable(now, a)
	}
	is.True(now.Sub(begin) < 6*time.Second)
	is.True(book.IsUnresponsive(now, a, begin))
	is.True(!book.IsUnresponsive(begin.Add(time.Second), a, begin))
}

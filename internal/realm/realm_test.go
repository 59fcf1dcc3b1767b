package realm

import (
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lovagelink.example/lovagelink/internal/route"
)

// state returns one with a service that is divided by key, and a way to change it.
func newState(t *testing.T) (*State, func(Command)) {
	t.Helper()
	s := New()
	apply := func(c Command) {
		data, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		s.Apply(s.Index+1, data)
	}
	apply(Command{AcceptConfig: &AcceptConfig{Config: route.Config{Version: 5, Services: []route.Service{{Name: "s", Keyed: true}}}, Body: []byte("five")}})
	return s, apply
}

func life(id string, born int64) Instance { return Instance{ID: id, StartMillis: born} }

func up(id string, born int64, port uint16) Upstream {
	return Upstream{Instance: life(id, born), Service: "s", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port), Concurrency: 2}
}

// The highest version is in force, and the same one with other content changes nothing.
func TestHighestVersionHolds(t *testing.T) {
	is := is.New(t)
	s, apply := newState(t)
	for _, c := range []struct {
		version uint64
		body    string
	}{{4, "four"}, {5, "other"}, {7, "seven"}, {6, "six"}} {
		apply(Command{AcceptConfig: &AcceptConfig{Config: route.Config{Version: c.version}, Body: []byte(c.body)}})
	}
	is.Equal(s.Version(), uint64(7))
	is.Equal(string(s.Body), "seven")
}

// A late word of an earlier life does not bring it back, at its id or at an address that another one holds.
func TestEarlierLivesStayGone(t *testing.T) {
	is := is.New(t)
	s, apply := newState(t)
	apply(Command{Join: []Upstream{up("a", 10, 1)}})
	apply(Command{Join: []Upstream{up("a", 20, 1)}})
	apply(Command{Join: []Upstream{up("a", 10, 1)}})
	is.Equal(s.Upstreams["a"].StartMillis, int64(20))
	apply(Command{Join: []Upstream{up("b", 30, 1)}})
	is.True(s.Upstreams["a"].Ended)
	apply(Command{Join: []Upstream{up("c", 25, 1)}})
	is.True(s.Upstreams["c"] == nil)
	apply(Command{SetPhase: []PhaseChange{{life("b", 30), Draining}}})
	apply(Command{Join: []Upstream{up("b", 30, 1)}})
	apply(Command{SetPhase: []PhaseChange{{life("b", 30), Ready}}})
	is.Equal(s.Upstreams["b"].Phase, Draining) // what was acknowledged stays
	apply(Command{SetPhase: []PhaseChange{{life("b", 10), Gone}}})
	is.Equal(s.Upstreams["b"].Phase, Draining) // another life
}

// An assignment that was decided on by an older state is without effect.
func TestAssignmentsAreConditional(t *testing.T) {
	is := is.New(t)
	s, apply := newState(t)
	apply(Command{Assignments: []Assignment{{Service: "s", Keys: AllKeys, Owner: life("a", 1)}}})
	fence := s.Ownership["s"].Ranges[0].FencingToken
	apply(Command{Assignments: []Assignment{{Service: "s", Keys: KeyRange{0, 99}, Owner: life("b", 1), ExpectedToken: fence}}})
	apply(Command{Assignments: []Assignment{{Service: "s", Keys: KeyRange{50, 199}, Owner: life("c", 1), ExpectedToken: fence}}})
	is.Equal(s.Ownership["s"].Ranges.At(60).Owner.ID, "b")
	is.Equal(s.Ownership["s"].Ranges.At(150).Owner.ID, "a")
	apply(Command{SetActive: []ActiveChange{{Service: "s", Keys: KeyRange{0, 99}, FencingToken: fence, Active: true}}})
	is.True(!s.Ownership["s"].Ranges.At(60).Active)
}

// After any series of assignments each key has the owner that was named last, fences rise for each key, ranges are in
// order and joined, and a follower that hears of some changes at a time ends with the same.
func TestRangesAgainstPlainMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, apply := newState(t)
		owners := make(map[uint16]Instance)
		fences := make(map[uint16]uint64)
		for range rapid.IntRange(1, 30).Draw(rt, "changes") {
			from := uint16(rapid.IntRange(0, 40).Draw(rt, "from"))
			to := from + uint16(rapid.IntRange(0, 20).Draw(rt, "more"))
			owner := life(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "owner"), 1)
			was := fences[from]
			apply(Command{Assignments: []Assignment{{Service: "s", Keys: KeyRange{from, to}, Owner: owner, ExpectedToken: was}}})
			isWhole := true
			for key := from; key <= to; key++ {
				isWhole = isWhole && fences[key] == was
			}
			for key := from; isWhole && key <= to; key++ {
				if s.Index <= fences[key] {
					rt.Fatalf("fence %d of key %d is not above %d", s.Index, key, fences[key])
				}
				owners[key], fences[key] = owner, s.Index
			}
		}
		owned := s.Ownership["s"]
		if owned == nil {
			return
		}
		for key := uint16(0); key < 70; key++ {
			one := owned.Ranges.At(key)
			switch {
			case one == nil && fences[key] != 0, one != nil && (one.Owner != owners[key] || one.FencingToken != fences[key]):
				rt.Fatalf("key %d: %+v, want %v with %d", key, one, owners[key], fences[key])
			}
		}
		for i := 1; i < len(owned.Ranges); i++ {
			if owned.Ranges[i-1].To >= owned.Ranges[i].From {
				rt.Fatalf("ranges overlap: %+v", owned.Ranges)
			}
		}
		covered := 0
		for _, gap := range owned.Ranges.Gaps() {
			covered += gap.Size()
		}
		for _, one := range owned.Ranges {
			covered += one.Size()
		}
		if covered != AllKeys.Size() {
			rt.Fatalf("ranges and gaps cover %d keys", covered)
		}
	})
}

// A follower that hears of what has changed now and then knows the owner of each key.
func TestFollowerPutsChangesTogether(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		feed := NewStore()
		index, since := uint64(1), uint64(0)
		apply := func(c Command) {
			data, err := json.Marshal(c)
			if err != nil {
				rt.Fatal(err)
			}
			index++
			feed.Apply(index, data)
		}
		apply(Command{AcceptConfig: &AcceptConfig{Config: route.Config{Version: 5, Services: []route.Service{{Name: "s", Keyed: true}}}}})
		var followed Ranges
		for range rapid.IntRange(1, 30).Draw(rt, "changes") {
			from := uint16(rapid.IntRange(0, 40).Draw(rt, "from"))
			keys := KeyRange{from, from + uint16(rapid.IntRange(0, 20).Draw(rt, "more"))}
			was := uint64(0)
			feed.Read(func(s *State) {
				if owned := s.Ownership["s"]; owned != nil && owned.Ranges.At(from) != nil {
					was = owned.Ranges.At(from).FencingToken
				}
			})
			if rapid.Bool().Draw(rt, "take") {
				apply(Command{SetActive: []ActiveChange{{Service: "s", Keys: keys, FencingToken: was, Active: rapid.Bool().Draw(rt, "active")}}})
			} else {
				owner := life(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "owner"), 1)
				apply(Command{Assignments: []Assignment{{Service: "s", Keys: keys, Owner: owner, ExpectedToken: was}}})
			}
			if rapid.Bool().Draw(rt, "follow") {
				update := feed.Since(since)
				for _, one := range update.Ranges["s"] {
					followed = followed.Put(one)
				}
				since = update.Index
			}
		}
		for _, one := range feed.Since(since).Ranges["s"] {
			followed = followed.Put(one)
		}
		feed.Read(func(s *State) {
			for key := uint16(0); key < 70; key++ {
				var want *Range
				if owned := s.Ownership["s"]; owned != nil {
					want = owned.Ranges.At(key)
				}
				got := followed.At(key)
				if (want == nil) != (got == nil) || want != nil && (want.Owner != got.Owner || want.FencingToken != got.FencingToken || want.Active != got.Active) {
					rt.Fatalf("key %d: follower has %+v, replica %+v", key, got, want)
				}
			}
		})
	})
}

// A snapshot and a follower hold the same as the replica.
func TestFeedTellsAll(t *testing.T) {
	is := is.New(t)
	feed := NewStore()
	index := uint64(0)
	apply := func(c Command) {
		data, err := json.Marshal(c)
		is.NoErr(err)
		index++
		feed.Apply(index, data)
	}
	apply(Command{AcceptConfig: &AcceptConfig{Config: route.Config{Version: 5, Services: []route.Service{{Name: "s", Keyed: true}}}, Body: []byte("five")}})
	apply(Command{Join: []Upstream{up("a", 10, 1)}})
	first := feed.Since(0)
	is.Equal(first.Config.Version, uint64(5))
	is.Equal(len(first.Upstreams), 1)
	apply(Command{Assignments: []Assignment{{Service: "s", Keys: AllKeys, Owner: life("a", 10)}}})
	second := feed.Since(first.Index)
	is.True(second.Config == nil)
	is.Equal(len(second.Upstreams), 0)
	is.Equal(len(second.Ranges["s"]), 1)
	data, err := feed.Snapshot()
	is.NoErr(err)
	other := NewStore()
	is.NoErr(other.Restore(index, data))
	is.Equal(other.Since(0), feed.Since(0))
}

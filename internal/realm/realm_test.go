package realm

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lovagelink.example/lovagelink/internal/route"
)

// newState returns a state with one keyed service, and a function that applies a command.
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

func newInstance(id string, startMillis int64) Instance {
	return Instance{ID: id, StartMillis: startMillis}
}

func newUpstream(id string, startMillis int64, port uint16) Upstream {
	return Upstream{Instance: newInstance(id, startMillis), Service: "s", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port), Concurrency: 2}
}

// The configuration with the highest version is in force; the same version with other content changes nothing.
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

// A late announcement of an earlier instance does not replace the current instance at its id or its address.
func TestEarlierInstancesStayGone(t *testing.T) {
	is := is.New(t)
	s, apply := newState(t)
	apply(Command{Join: []Upstream{newUpstream("a", 10, 1)}})
	apply(Command{Join: []Upstream{newUpstream("a", 20, 1)}})
	apply(Command{Join: []Upstream{newUpstream("a", 10, 1)}})
	is.Equal(s.Upstreams["a"].StartMillis, int64(20))
	apply(Command{Join: []Upstream{newUpstream("b", 30, 1)}})
	is.True(s.Upstreams["a"].Ended)
	apply(Command{Join: []Upstream{newUpstream("c", 25, 1)}})
	is.True(s.Upstreams["c"] == nil)
	apply(Command{SetPhase: []PhaseChange{{newInstance("b", 30), Draining}}})
	apply(Command{Join: []Upstream{newUpstream("b", 30, 1)}})
	apply(Command{SetPhase: []PhaseChange{{newInstance("b", 30), Ready}}})
	is.Equal(s.Upstreams["b"].Phase, Draining) // an acknowledged drain is not undone
	apply(Command{SetPhase: []PhaseChange{{newInstance("b", 10), Gone}}})
	is.Equal(s.Upstreams["b"].Phase, Draining) // the command is for another instance
}

// An assignment or a change of Active that is based on an outdated state has no effect.
func TestAssignmentsAreConditional(t *testing.T) {
	is := is.New(t)
	s, apply := newState(t)
	apply(Command{Assignments: []Assignment{{Service: "s", Keys: AllKeys, Owner: newInstance("a", 1)}}})
	token := s.Ownership["s"].Ranges[0].FencingToken
	apply(Command{Assignments: []Assignment{{Service: "s", Keys: KeyRange{0, 99}, Owner: newInstance("b", 1), ExpectedToken: token}}})
	apply(Command{Assignments: []Assignment{{Service: "s", Keys: KeyRange{50, 199}, Owner: newInstance("c", 1), ExpectedToken: token}}})
	is.Equal(s.Ownership["s"].Ranges.At(60).Owner.ID, "b")
	is.Equal(s.Ownership["s"].Ranges.At(150).Owner.ID, "a")
	apply(Command{SetActive: []ActiveChange{{Service: "s", Keys: KeyRange{0, 99}, FencingToken: token, Active: true}}})
	is.True(!s.Ownership["s"].Ranges.At(60).Active)
}

// After any series of assignments each key has the owner that was assigned last, the fencing tokens of each key have
// only increased, and ranges don't overlap.
func TestRangesAgainstPlainMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, apply := newState(t)
		owners := make(map[uint16]Instance)
		tokens := make(map[uint16]uint64)
		for range rapid.IntRange(1, 30).Draw(rt, "changes") {
			from := uint16(rapid.IntRange(0, 40).Draw(rt, "from"))
			to := from + uint16(rapid.IntRange(0, 20).Draw(rt, "more"))
			owner := newInstance(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "owner"), 1)
			expectedToken := tokens[from]
			apply(Command{Assignments: []Assignment{{Service: "s", Keys: KeyRange{from, to}, Owner: owner, ExpectedToken: expectedToken}}})
			applies := true
			for key := from; key <= to; key++ {
				applies = applies && tokens[key] == expectedToken
			}
			for key := from; applies && key <= to; key++ {
				if s.Index <= tokens[key] {
					rt.Fatalf("fencing token %d of key %d is not above %d", s.Index, key, tokens[key])
				}
				owners[key], tokens[key] = owner, s.Index
			}
		}
		ownership := s.Ownership["s"]
		if ownership == nil {
			return
		}
		for key := uint16(0); key < 70; key++ {
			r := ownership.Ranges.At(key)
			switch {
			case r == nil && tokens[key] != 0, r != nil && (r.Owner != owners[key] || r.FencingToken != tokens[key]):
				rt.Fatalf("key %d: %+v, want %v with %d", key, r, owners[key], tokens[key])
			}
		}
		for i := 1; i < len(ownership.Ranges); i++ {
			if ownership.Ranges[i-1].To >= ownership.Ranges[i].From {
				rt.Fatalf("ranges overlap: %+v", ownership.Ranges)
			}
		}
		covered := 0
		for _, gap := range ownership.Ranges.Gaps() {
			covered += gap.Size()
		}
		for _, r := range ownership.Ranges {
			covered += r.Size()
		}
		if covered != AllKeys.Size() {
			rt.Fatalf("ranges and gaps cover %d keys", covered)
		}
	})
}

// A follower that requests the changes from time to time has the same owner of each key as the replica.
func TestFollowerPutsChangesTogether(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := NewStore()
		index, since := uint64(1), uint64(0)
		apply := func(c Command) {
			data, err := json.Marshal(c)
			if err != nil {
				rt.Fatal(err)
			}
			index++
			store.Apply(index, data)
		}
		apply(Command{AcceptConfig: &AcceptConfig{Config: route.Config{Version: 5, Services: []route.Service{{Name: "s", Keyed: true}}}}})
		var followed Ranges
		for range rapid.IntRange(1, 30).Draw(rt, "changes") {
			from := uint16(rapid.IntRange(0, 40).Draw(rt, "from"))
			keys := KeyRange{from, from + uint16(rapid.IntRange(0, 20).Draw(rt, "more"))}
			expectedToken := uint64(0)
			store.Read(func(s *State) {
				if ownership := s.Ownership["s"]; ownership != nil && ownership.Ranges.At(from) != nil {
					expectedToken = ownership.Ranges.At(from).FencingToken
				}
			})
			if rapid.Bool().Draw(rt, "take") {
				apply(Command{SetActive: []ActiveChange{{Service: "s", Keys: keys, FencingToken: expectedToken, Active: rapid.Bool().Draw(rt, "active")}}})
			} else {
				owner := newInstance(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "owner"), 1)
				apply(Command{Assignments: []Assignment{{Service: "s", Keys: keys, Owner: owner, ExpectedToken: expectedToken}}})
			}
			if rapid.Bool().Draw(rt, "follow") {
				update := store.Since(since)
				for _, r := range update.Ranges["s"] {
					followed = followed.Put(r)
				}
				since = update.Index
			}
		}
		for _, r := range store.Since(since).Ranges["s"] {
			followed = followed.Put(r)
		}
		store.Read(func(s *State) {
			for key := uint16(0); key < 70; key++ {
				var want *Range
				if ownership := s.Ownership["s"]; ownership != nil {
					want = ownership.Ranges.At(key)
				}
				got := followed.At(key)
				if (want == nil) != (got == nil) || want != nil && (want.Owner != got.Owner || want.FencingToken != got.FencingToken || want.Active != got.Active) {
					rt.Fatalf("key %d: follower has %+v, replica %+v", key, got, want)
				}
			}
		})
	})
}

// Followers receive only what has changed, and a state that is restored from a snapshot equals the replica's.
func TestSnapshotAndFollowerMatchReplica(t *testing.T) {
	is := is.New(t)
	store := NewStore()
	index := uint64(0)
	apply := func(c Command) {
		data, err := json.Marshal(c)
		is.NoErr(err)
		index++
		store.Apply(index, data)
	}
	apply(Command{AcceptConfig: &AcceptConfig{Config: route.Config{Version: 5, Services: []route.Service{{Name: "s", Keyed: true}}}, Body: []byte("five")}})
	apply(Command{Join: []Upstream{newUpstream("a", 10, 1)}})
	first := store.Since(0)
	is.Equal(first.Config.Version, uint64(5))
	is.Equal(len(first.Upstreams), 1)
	apply(Command{Assignments: []Assignment{{Service: "s", Keys: AllKeys, Owner: newInstance("a", 10)}}})
	second := store.Since(first.Index)
	is.True(second.Config == nil)
	is.Equal(len(second.Upstreams), 0)
	is.Equal(len(second.Ranges["s"]), 1)
	data, err := store.Snapshot()
	is.NoErr(err)
	other := NewStore()
	is.NoErr(other.Restore(index, data))
	is.Equal(other.Since(0), store.Since(0))
}

// Guards against keys that are assigned anew while their earlier grants are in force: a service that leaves the
// configuration keeps its owners until a withdrawal that was decided under that very configuration. A command of an earlier
// release has the effect that it had there.
func TestOwnersOfServiceThatLeaves(t *testing.T) {
	is := is.New(t)
	s, apply := newState(t)
	version := uint64(10)
	accept := func(keepOwners bool, services ...route.Service) {
		version++
		apply(Command{AcceptConfig: &AcceptConfig{Config: route.Config{Version: version, Services: services}}, KeepOwners: keepOwners})
	}
	keyed := route.Service{Name: "s", Keyed: true}
	accept(true, keyed)
	apply(Command{Assignments: []Assignment{{Service: "s", Keys: AllKeys, Owner: newInstance("a", 10)}}})
	before := s.Ownership["s"].Ranges
	accept(true)
	left := s.ConfigIndex
	is.Equal(s.Ownership["s"].Ranges, before)
	apply(Command{Assignments: []Assignment{{Service: "s", Keys: AllKeys, Owner: newInstance("b", 10), ExpectedToken: before[0].FencingToken}}})
	is.Equal(s.Ownership["s"].Ranges, before)
	accept(true, keyed)
	apply(Command{Withdrawals: []Withdrawal{{Service: "s", ConfigIndex: left}}}) // too late
	apply(Command{Withdrawals: []Withdrawal{{Service: "s", ConfigIndex: s.ConfigIndex}}})
	is.Equal(s.Ownership["s"].Ranges, before)
	accept(true, route.Service{Name: "s"}) // no longer divided by key
	apply(Command{Withdrawals: []Withdrawal{{Service: "s", ConfigIndex: left}}})
	is.Equal(s.Ownership["s"].Ranges, before)
	apply(Command{Withdrawals: []Withdrawal{{Service: "s", ConfigIndex: s.ConfigIndex}}})
	is.True(s.Ownership["s"] == nil)

	accept(true, keyed)
	apply(Command{Assignments: []Assignment{{Service: "s", Keys: AllKeys, Owner: newInstance("a", 10)}}})
	accept(false)
	is.True(s.Ownership["s"] == nil)
}

// A compressed configuration has the effect of a plain one, with the operator's text byte for byte, and is a fraction of
// its size in the log. One that can't be decoded changes nothing.
func TestPackedConfig(t *testing.T) {
	is := is.New(t)
	s, apply := newState(t)
	accept := &AcceptConfig{Config: route.Config{Version: 8, Services: []route.Service{{Name: "s", Keyed: true}}}}
	for i := range 1000 {
		accept.Config.Routes = append(accept.Config.Routes, route.Route{Name: fmt.Sprint("r-", i*7919%10007), Host: "h", Prefix: fmt.Sprintf("/%x/", i*104729)})
	}
	text, err := json.Marshal(accept.Config)
	is.NoErr(err)
	accept.Body = append(text, 0xff, '\n') // not valid UTF-8
	command, err := NewAcceptPacked(accept)
	is.NoErr(err)
	plain, err := json.Marshal(Command{AcceptConfig: accept})
	is.NoErr(err)
	is.True(len(command.AcceptPacked) < len(plain)/5)
	apply(Command{AcceptPacked: command.AcceptPacked[:len(command.AcceptPacked)/2]})
	is.Equal(s.Version(), uint64(5))
	apply(command)
	is.Equal(*s.Config, accept.Config)
	is.Equal(s.Body, accept.Body)
	is.Equal(s.ConfigIndex, s.Index)
}

// PutAll leads to the same owners as Put for one range after another.
func TestPutAllAgainstPut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(token uint64) (ranges Ranges) {
			for key := rapid.IntRange(0, 8).Draw(rt, "first"); key < 60; {
				to := key + rapid.IntRange(0, 9).Draw(rt, "more")
				owner := newInstance(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "owner"), 1)
				ranges = append(ranges, Range{KeyRange: KeyRange{uint16(key), uint16(to)}, Owner: owner, FencingToken: token})
				key = to + 1 + rapid.IntRange(0, 9).Draw(rt, "gap")
			}
			return ranges
		}
		before, changes := draw(1).merged(), draw(2)
		if rapid.Bool().Draw(rt, "last key") {
			changes = append(changes, Range{KeyRange: KeyRange{65530, 65535}, Owner: newInstance("a", 1), FencingToken: 2})
		}
		want := before
		for _, r := range changes {
			want = want.Put(r)
		}
		if got := before.PutAll(changes); !slices.Equal(got, want) {
			rt.Fatalf("%+v with %+v: got %+v, want %+v", before, changes, got, want)
		}
	})
}

// The limit that an upstream has named is part of the state: hosts that start later learn it, and it outlasts a time in
// which the upstream was lost. Another instance under the same id has named none.
func TestLimitOfAnUpstream(t *testing.T) {
	is := is.New(t)
	s, apply := newState(t)
	u := newUpstream("u", 1, 1)
	apply(Command{Join: []Upstream{u}})
	index := s.Index
	apply(Command{SetLimits: []LimitChange{{u.Instance, 2.5}, {newInstance("u", 2), 9}, {newInstance("unknown", 1), 9}}})
	is.Equal(s.Upstreams["u"].Limit, 2.5)
	is.Equal(s.Upstreams["u"].Changed, index+1) // sent to followers
	apply(Command{SetLimits: []LimitChange{{u.Instance, 2.5}}})
	is.Equal(s.Upstreams["u"].Changed, index+1) // nothing new
	apply(Command{SetPhase: []PhaseChange{{u.Instance, Lost}}})
	apply(Command{Join: []Upstream{u}})
	is.Equal(s.Upstreams["u"].Phase, Ready)
	is.Equal(s.Upstreams["u"].Limit, 2.5)
	apply(Command{Join: []Upstream{newUpstream("u", 2, 1)}})
	is.Equal(s.Upstreams["u"].Limit, 0.0)
}

package core

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Control hosts of the own zone are followed first. While they fail, the others are followed in turn.
func TestSourcesOfOwnZoneFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewSources("b", 1, []string{"x", "y", "z"})
	is.Equal(s.Pick(now), "y") // no zone is known yet
	for name, zone := range map[string]string{"x": "a", "y": "c", "z": "b"} {
		s.Add(Member{Name: name, Zone: zone})
	}
	s.Add(Member{Name: "z"}) // a member without a zone does not clear the known zone
	is.Equal(s.Pick(now), "z")
	seen := map[string]int{}
	for range 4 {
		name := s.Pick(now)
		seen[name]++
		s.MarkFailed(now, name)
		now = now.Add(time.Millisecond)
	}
	is.Equal(seen, map[string]int{"x": 1, "y": 1, "z": 2}) // each of the other zones has one turn, z has two
	s.MarkFailed(now, "z")
	is.True(s.Pick(now.Add(time.Second)) != "z")
	is.Equal(s.Pick(now.Add(ownZoneRetryInterval)), "z")
}

// Another control host of the zone is followed rather than the leader, and the leader rather than one of another zone.
func TestSourcesSpareTheLeader(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewSources("a", 0, nil)
	s.Add(Member{Name: "far", Zone: "b"})
	s.Add(Member{Name: "leader", Zone: "a", Leads: true})
	is.Equal(s.Pick(now), "leader")
	s.Add(Member{Name: "near", Zone: "a"})
	is.Equal(s.Pick(now), "near")
	s.Add(Member{Name: "leader", Zone: "a"})
	s.Add(Member{Name: "near", Zone: "a", Leads: true}) // another host leads now
	is.Equal(s.Pick(now), "leader")
}

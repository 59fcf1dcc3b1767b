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

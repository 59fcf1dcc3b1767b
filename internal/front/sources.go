package front

import (
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/core"
)

// nearAgain is after how long a host that follows a control host of another zone tries one of its own again.
const nearAgain = 5 * time.Second

// sources are the control hosts that can be followed: those of the own availability zone first, since what is told
// between zones is dear, then the others, beginning at a place that differs from host to host.
type sources struct {
	own     string // zone
	start   int
	members []core.Member
	failed  map[string]time.Time // when one was last out of reach or out of touch
}

func newSources(own string, start int, names []string) *sources {
	s := &sources{own: own, start: start, failed: make(map[string]time.Time)}
	for _, name := range names {
		s.add(core.Member{Name: name})
	}
	return s
}

// add takes in a control host, or its zone where that was not known.
func (s *sources) add(member core.Member) {
	i := slices.IndexFunc(s.members, func(m core.Member) bool { return m.Name == member.Name })
	switch {
	case i < 0:
		s.members = append(s.members, member)
	case member.Zone != "":
		s.members[i].Zone = member.Zone
	}
}

// pick returns the control host to follow next.
func (s *sources) pick(now time.Time) string {
	best, bestAt := "", time.Time{}
	for i := range s.members {
		one := s.members[(s.start+i)%len(s.members)]
		failed := s.failed[one.Name]
		if one.Zone == s.own && s.own != "" && now.Sub(failed) >= nearAgain {
			return one.Name
		}
		if best == "" || failed.Before(bestAt) {
			best, bestAt = one.Name, failed
		}
	}
	return best
}

// fail notes that a control host could not be followed.
func (s *sources) fail(now time.Time, name string) { s.failed[name] = now }

func (s *sources) names() []string {
	names := make([]string, 0, len(s.members))
	for _, one := range s.members {
		names = append(names, one.Name)
	}
	return names
}

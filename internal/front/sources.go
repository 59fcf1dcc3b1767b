package front

import (
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/core"
)

// ownZoneRetryInterval is how long after a failure a control host of the own zone is tried again, while this host
// follows one of another zone.
const ownZoneRetryInterval = 5 * time.Second

// sources is the list of control hosts that can be followed. Those of the own availability zone are preferred, since
// traffic between zones is expensive. Each host begins at a different offset in the list, so that hosts spread over the
// others.
type sources struct {
	ownZone string
	offset  int
	members []core.Member
	failed  map[string]time.Time // when following a control host last failed, by name
}

func newSources(ownZone string, start int, names []string) *sources {
	s := &sources{ownZone: ownZone, offset: start, failed: make(map[string]time.Time)}
	for _, name := range names {
		s.add(core.Member{Name: name})
	}
	return s
}

// add adds a control host, or sets the zone of one that is in the list already. An empty zone changes nothing.
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
		member := s.members[(s.offset+i)%len(s.members)]
		failed := s.failed[member.Name]
		if member.Zone == s.ownZone && s.ownZone != "" && now.Sub(failed) >= ownZoneRetryInterval {
			return member.Name
		}
		if best == "" || failed.Before(bestAt) {
			best, bestAt = member.Name, failed
		}
	}
	return best
}

// markFailed records that a control host could not be followed.
func (s *sources) markFailed(now time.Time, name string) { s.failed[name] = now }

func (s *sources) names() []string {
	names := make([]string, 0, len(s.members))
	for _, member := range s.members {
		names = append(names, member.Name)
	}
	return names
}

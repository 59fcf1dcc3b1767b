package front

import (
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/core"
)

// ownZoneRetryInterval is the time from the last failure of a control host in this host's zone until it is preferred
// again to those of other zones.
const ownZoneRetryInterval = 5 * time.Second

// sources is the list of control hosts that can be followed. Those in this host's availability zone are preferred,
// since traffic between zones is expensive. Each entry host begins at an offset of its own in the list, so that the
// entry hosts spread over the control hosts.
type sources struct {
	ownZone string
	offset  int
	members []core.Member
	failed  map[string]time.Time // when following a control host last failed, by name
}

func newSources(ownZone string, offset int, names []string) *sources {
	s := &sources{ownZone: ownZone, offset: offset, failed: make(map[string]time.Time)}
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

// pick returns the control host to follow next: one in this host's zone that has not failed for ownZoneRetryInterval,
// or else the one whose last failure is the longest ago.
func (s *sources) pick(now time.Time) string {
	best, bestFailed := "", time.Time{}
	for i := range s.members {
		member := s.members[(s.offset+i)%len(s.members)]
		failed := s.failed[member.Name]
		if member.Zone == s.ownZone && s.ownZone != "" && now.Sub(failed) >= ownZoneRetryInterval {
			return member.Name
		}
		if best == "" || failed.Before(bestFailed) {
			best, bestFailed = member.Name, failed
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

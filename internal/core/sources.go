package core

import (
	"slices"
	"time"
)

// ownZoneRetryInterval is the time from the last failure of a control host in this host's zone until it is preferred
// again to those of other zones.
const ownZoneRetryInterval = 5 * time.Second

// Sources is the list of control hosts that a host can follow. Those in its availability zone are preferred, since
// traffic between zones is expensive. Each host begins at an offset of its own in the list, so that the hosts spread
// over the control hosts.
type Sources struct {
	ownZone string
	offset  int
	members []Member
	failed  map[string]time.Time // when following a control host last failed, by name
}

// NewSources returns a list of the control hosts with the given names, whose zones are not known yet.
func NewSources(ownZone string, offset int, names []string) *Sources {
	s := &Sources{ownZone: ownZone, offset: offset, failed: make(map[string]time.Time)}
	for _, name := range names {
		s.Add(Member{Name: name})
	}
	return s
}

// Add adds a control host, or sets the zone of one that is in the list already. An empty zone changes nothing.
func (s *Sources) Add(member Member) {
	i := slices.IndexFunc(s.members, func(m Member) bool { return m.Name == member.Name })
	switch {
	case i < 0:
		s.members = append(s.members, member)
	default:
		if member.Zone != "" {
			s.members[i].Zone = member.Zone
		}
		s.members[i].Leads = member.Leads
	}
}

// Pick returns the control host to follow next: one in this host's zone that has not failed for ownZoneRetryInterval,
// rather another than the leader, or else the one whose last failure is the longest ago.
func (s *Sources) Pick(now time.Time) string {
	best, bestFailed, leader := "", time.Time{}, ""
	for i := range s.members {
		member := s.members[(s.offset+i)%len(s.members)]
		failed := s.failed[member.Name]
		if member.Zone == s.ownZone && s.ownZone != "" && now.Sub(failed) >= ownZoneRetryInterval {
			if !member.Leads {
				return member.Name
			}
			leader = member.Name
		}
		if best == "" || failed.Before(bestFailed) {
			best, bestFailed = member.Name, failed
		}
	}
	if leader != "" {
		return leader
	}
	return best
}

// MarkFailed records that a control host could not be followed.
func (s *Sources) MarkFailed(now time.Time, name string) { s.failed[name] = now }

// Names returns the names of all control hosts in the list.
func (s *Sources) Names() []string {
	names := make([]string, 0, len(s.members))
	for _, member := range s.members {
		names = append(names, member.Name)
	}
	return names
}

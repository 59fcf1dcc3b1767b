package core

import (
	"cmp"
	"slices"
	"time"
)

// voterChange is a change of the members of the log: a candidate joins, in place of a member if Replaces is set.
type voterChange struct {
	Join     string
	Replaces string
}

// planVoters returns the next change that spreads the members of the log over the availability zones, so that the loss
// of a zone leaves a majority; it reports false if there is none to make. There are up to most members; the leader is
// never replaced.
func planVoters(members, candidates []Member, leader string, most int) (voterChange, bool) {
	inZone := make(map[string]int)
	for _, m := range members {
		inZone[m.Zone]++
	}
	if len(candidates) == 0 {
		return voterChange{}, false
	}
	join := slices.MinFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(inZone[a.Zone], inZone[b.Zone]), cmp.Compare(a.Name, b.Name))
	})
	if len(members) < most {
		return voterChange{Join: join.Name}, true
	}
	var replaced Member
	for _, m := range members {
		isCrowded := m.Zone != "" && m.Name != leader && inZone[m.Zone] >= inZone[join.Zone]+2
		if isCrowded && (replaced.Name == "" || inZone[m.Zone] > inZone[replaced.Zone]) {
			replaced = m
		}
	}
	if replaced.Name == "" || join.Zone == "" {
		return voterChange{}, false
	}
	return voterChange{Join: join.Name, Replaces: replaced.Name}, true
}

// nextVoterChange returns the next change of the members of the log, of those that planVoters makes with the hosts that
// ask for a vote. Members that are gone count as little as if they had been removed.
func (h *Host) nextVoterChange(now time.Time) (join, replaces string) {
	members := h.membersWithZones(now)
	gone := h.currentReplica().replica.Gone(now)
	staying := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return slices.Contains(gone, m.Name) })
	h.mu.Lock()
	var candidates []Member
	for name, requestedAt := range h.joinRequests {
		if now.Sub(requestedAt) > joinRequestTTL {
			delete(h.joinRequests, name)
			continue
		}
		if !slices.ContainsFunc(members, func(m Member) bool { return m.Name == name }) {
			candidates = append(candidates, Member{Name: name, Zone: h.zones[name]})
		}
	}
	h.mu.Unlock()
	change, _ := planVoters(staying, candidates, h.name, h.maxMembers())
	return change.Join, change.Replaces
}

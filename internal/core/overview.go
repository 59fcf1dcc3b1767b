package core

import (
	"time"

	"lovagelink.example/lovagelink/internal/oper"
	"lovagelink.example/lovagelink/internal/realm"
)

// Overview returns the status of this host and its state of the deployment, for operators.
func (h *Host) Overview(now time.Time) oper.Status {
	replica := h.currentReplica().replica
	status := oper.Status{
		Host: h.site.Name, Role: "control", Zone: h.site.Zone, Name: h.name,
		Leader: h.leaderName(now), LeaderReachable: h.hasLeaderContact(now), ReplicaStates: make(map[string]string),
	}
	for name, state := range replica.ReplicaStates(now) {
		status.ReplicaStates[name] = state.String()
	}
	h.readNewest(func(s *realm.State) {
		status.AppliedIndex, status.ConfigVersion = s.Index, s.Version()
		var upstreams []realm.Upstream
		for _, u := range s.Sorted() {
			upstreams = append(upstreams, *u)
		}
		ranges := make(map[string]realm.Ranges)
		for _, service := range s.KeyedServices() {
			ranges[service] = nil // services without owners are listed too
			if ownership := s.Ownership[service]; ownership != nil {
				ranges[service] = ownership.Ranges
			}
		}
		status.Describe(upstreams, ranges)
	})
	return status
}

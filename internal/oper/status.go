package oper

import (
	"cmp"
	"net/netip"
	"slices"

	"lovagelink.example/lovagelink/internal/realm"
)

// Status is the deployment as one process sees it.
type Status struct {
	Host            string            `json:"host"`
	Role            string            `json:"role"` // entry or control
	Zone            string            `json:"zone"`
	Name            string            `json:"name,omitempty"`   // among the control hosts
	Leader          string            `json:"leader,omitempty"` // of the control log, by that name
	LeaderReachable bool              `json:"in-touch"`         // it hears from the leader
	AppliedIndex    uint64            `json:"index"`            // position of the log that it knows
	ConfigVersion   uint64            `json:"version"`          // configuration in force, 0 for none
	ReplicaStates   map[string]string `json:"copies,omitempty"` // of the log, by control host: whole, repairing, silent, or unknown to this one
	Upstreams       []Upstream        `json:"upstreams"`
	Unowned         map[string]int    `json:"unowned,omitempty"` // keys that nobody owns, by service
}

// Upstream is one upstream as a process sees it.
type Upstream struct {
	ID          string         `json:"id"`
	Service     string         `json:"service"`
	Zone        string         `json:"zone"`
	Address     netip.AddrPort `json:"address"`
	Phase       string         `json:"phase"`
	Keys        int            `json:"keys"`      // that it owns
	GrantedKeys int            `json:"taken"`     // of these, those that it has been granted
	InFlight    int            `json:"in-flight"` // requests that this process has sent and that are not answered
	Waiting     int            `json:"waiting"`   // requests that wait here for their turn
}

// Describe fills in upstreams and the keys that they own.
func (s *Status) Describe(upstreams []realm.Upstream, ranges map[string]realm.Ranges) {
	owned, taken := make(map[string]int), make(map[string]int)
	for service, list := range ranges {
		for _, one := range list {
			owned[one.Owner.ID] += one.Size()
			if one.Active {
				taken[one.Owner.ID] += one.Size()
			}
		}
		for _, gap := range list.Gaps() {
			if s.Unowned == nil {
				s.Unowned = make(map[string]int)
			}
			s.Unowned[service] += gap.Size()
		}
	}
	for _, u := range upstreams {
		s.Upstreams = append(s.Upstreams, Upstream{
			ID: u.ID, Service: u.Service, Zone: u.Zone, Address: u.Address, Phase: u.Phase.String(),
			Keys: owned[u.ID], GrantedKeys: taken[u.ID],
		})
	}
	slices.SortFunc(s.Upstreams, func(a, b Upstream) int { return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID)) })
}

package oper

import (
	"cmp"
	"net/netip"
	"slices"

	"lovagelink.example/lovagelink/internal/realm"
)

// Status is the state of the deployment as one process sees it.
type Status struct {
	Host            string `json:"host"`
	Role            string `json:"role"` // entry or control
	Zone            string `json:"zone"`
	Name            string `json:"name,omitempty"`   // name of the process among the control hosts
	Leader          string `json:"leader,omitempty"` // leader of the log, by its name among the control hosts
	LeaderReachable bool   `json:"in-touch"`         // the process is in contact with the leader
	AppliedIndex    uint64 `json:"index"`            // log index that the process has applied
	ConfigVersion   uint64 `json:"version"`          // version in force, 0 if there is no configuration
	// ReplicaStates is the state of the log's replica on each control host, by the host's name: whole, repairing,
	// silent, or unknown to this host.
	ReplicaStates map[string]string `json:"copies,omitempty"`
	Upstreams     []Upstream        `json:"upstreams"`
	Unowned       map[string]int    `json:"unowned,omitempty"` // number of keys without an owner, by service
}

// Upstream is the state of an upstream as one process sees it.
type Upstream struct {
	ID          string         `json:"id"`
	Service     string         `json:"service"`
	Zone        string         `json:"zone"`
	Address     netip.AddrPort `json:"address"`
	Phase       string         `json:"phase"`
	Keys        int            `json:"keys"`      // number of keys that the upstream owns
	GrantedKeys int            `json:"taken"`     // number of owned keys whose ownership the upstream has been granted
	InFlight    int            `json:"in-flight"` // requests that this process has sent and that have no response yet
	Waiting     int            `json:"waiting"`   // requests that wait in the queue of this process
}

// Describe adds the upstreams with the numbers of their keys, and the numbers of keys without an owner.
func (s *Status) Describe(upstreams []realm.Upstream, ranges map[string]realm.Ranges) {
	owned, granted := make(map[string]int), make(map[string]int)
	for service, list := range ranges {
		for _, r := range list {
			owned[r.Owner.ID] += r.Size()
			if r.Active {
				granted[r.Owner.ID] += r.Size()
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
			Keys: owned[u.ID], GrantedKeys: granted[u.ID],
		})
	}
	slices.SortFunc(s.Upstreams, func(a, b Upstream) int { return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID)) })
}

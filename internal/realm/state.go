package realm

import (
	"encoding/json"
	"maps"
	"slices"

	"lovagelink.example/lovagelink/internal/route"
)

// State is all that the control hosts have agreed on.
type State struct {
	Index     uint64               `json:"index"`
	Config    *route.Config        `json:"config,omitempty"`
	Body      []byte               `json:"body,omitempty"` // the configuration as the operator sent it
	Accepted  uint64               `json:"accepted"`       // position at which the configuration was accepted
	Upstreams map[string]*Upstream `json:"upstreams"`      // by id
	Owned     map[string]*Owned    `json:"owned"`          // by service
}

// Owned is who owns the keys of a service.
type Owned struct {
	Ranges  Ranges `json:"ranges"`
	Changed uint64 `json:"changed"`
}

// New returns an empty state.
func New() *State {
	return &State{Upstreams: make(map[string]*Upstream), Owned: make(map[string]*Owned)}
}

// Apply carries out the command at a position of the log and returns its answer.
func (s *State) Apply(index uint64, data []byte) []byte {
	s.Index = index
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return nil // a command of a later release: all replicas pass over it alike
	}
	if command.Accept != nil {
		s.accept(command.Accept)
	}
	for _, one := range command.Join {
		s.join(one)
	}
	for _, one := range command.Enter {
		s.enter(one)
	}
	for _, one := range command.Assign {
		s.assign(one)
	}
	for _, one := range command.Take {
		s.take(one)
	}
	for _, one := range command.Forget {
		s.forget(one)
	}
	for _, one := range command.Fence {
		s.fence(one)
	}
	answer, _ := json.Marshal(Answer{Version: s.Version()}) // a struct of one number can't fail to encode
	return answer
}

// Version returns the version in force, 0 if there is none.
func (s *State) Version() uint64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Version
}

func (s *State) accept(a *Accept) {
	if s.Config != nil && a.Config.Version <= s.Config.Version {
		return
	}
	config := a.Config
	s.Config, s.Body, s.Accepted = &config, a.Body, s.Index
	for name := range s.Owned {
		if service := config.ServiceNamed(name); service == nil || !service.Keyed {
			delete(s.Owned, name)
		}
	}
}

// join takes in a life that has announced itself. It takes the place of an earlier life under its id, and of an
// earlier one at its address.
func (s *State) join(u Upstream) {
	if known := s.Upstreams[u.ID]; known != nil {
		if u.Born < known.Born || u.Born == known.Born && known.Phase != Lost {
			return
		}
	}
	for _, other := range s.Upstreams {
		if other.ID == u.ID || other.Address != u.Address || other.Phase == Gone {
			continue
		}
		if other.Born > u.Born {
			return
		}
		other.Phase, other.Ended, other.Changed = Gone, true, s.Index
	}
	u.Changed = s.Index
	s.Upstreams[u.ID] = &u
}

func (s *State) enter(e Entering) {
	u := s.Upstreams[e.ID]
	if u == nil || u.Born != e.Born || u.Phase == Gone || u.Phase == e.Phase {
		return
	}
	if u.Phase == Draining && e.Phase != Gone {
		return
	}
	u.Phase, u.Changed = e.Phase, s.Index
}

func (s *State) assign(a Assign) {
	if s.Config == nil {
		return
	}
	service := s.Config.ServiceNamed(a.Service)
	if service == nil || !service.Keyed || a.Keys.From > a.Keys.To {
		return
	}
	owned := s.Owned[a.Service]
	if owned == nil {
		owned = &Owned{}
		s.Owned[a.Service] = owned
	}
	if !owned.Ranges.allAre(a.Keys, a.Was) {
		return
	}
	owned.Ranges = owned.Ranges.Put(Range{Keys: a.Keys, Owner: a.Owner, Fence: s.Index, Handover: a.Handover, Changed: s.Index})
	owned.Changed = s.Index
}

// allAre reports whether all the keys have this fence, or no owner where it is 0.
func (r Ranges) allAre(keys Keys, fence uint64) bool {
	covered := 0
	for _, one := range r {
		if !one.Meets(keys) {
			continue
		}
		if one.Fence != fence {
			return false
		}
		covered += int(min(one.To, keys.To)) - int(max(one.From, keys.From)) + 1
	}
	if fence == 0 {
		return covered == 0
	}
	return covered == keys.Size()
}

func (s *State) take(t Taken) {
	owned := s.Owned[t.Service]
	if owned == nil || !owned.Ranges.allAre(t.Keys, t.Fence) {
		return
	}
	for _, one := range slices.Clone(owned.Ranges) {
		if !one.Meets(t.Keys) || one.Active == t.Active {
			continue
		}
		one.Keys = Keys{max(one.From, t.Keys.From), min(one.To, t.Keys.To)}
		one.Active = t.Active
		one.Changed = s.Index
		owned.Ranges = owned.Ranges.Put(one)
		owned.Changed = s.Index
	}
}

// fence gives the keys of an owner a new fence. Those who follow the state need not hear of it: the owner stays.
func (s *State) fence(owner Life) {
	for _, owned := range s.Owned {
		next := slices.Clone(owned.Ranges)
		for i := range next {
			if next[i].Owner == owner {
				next[i].Fence = s.Index
			}
		}
		owned.Ranges = next.joined()
	}
}

func (s *State) forget(life Life) {
	if u := s.Upstreams[life.ID]; u != nil && u.Life == life && u.Phase == Gone {
		delete(s.Upstreams, life.ID)
	}
}

// Clone returns a copy that stays as it is.
func (s *State) Clone() State {
	next := *s
	next.Upstreams = make(map[string]*Upstream, len(s.Upstreams))
	for id, u := range s.Upstreams {
		copied := *u
		next.Upstreams[id] = &copied
	}
	next.Owned = make(map[string]*Owned, len(s.Owned))
	for service, owned := range s.Owned {
		copied := *owned // ranges are replaced as a whole, never changed
		next.Owned[service] = &copied
	}
	return next
}

// Keyed returns the names of the services that are divided by key.
func (s *State) Keyed() []string {
	var names []string
	if s.Config == nil {
		return nil
	}
	for _, service := range s.Config.Services {
		if service.Keyed {
			names = append(names, service.Name)
		}
	}
	return names
}

// Sorted returns the upstreams in the order of their ids.
func (s *State) Sorted() []*Upstream {
	var all []*Upstream
	for _, id := range slices.Sorted(maps.Keys(s.Upstreams)) {
		all = append(all, s.Upstreams[id])
	}
	return all
}

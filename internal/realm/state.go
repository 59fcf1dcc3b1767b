package realm

import (
	"encoding/json"
	"maps"
	"slices"

	"lovagelink.example/lovagelink/internal/route"
)

// State is all that the control hosts have agreed on.
type State struct {
	Index       uint64                `json:"index"`
	Config      *route.Config         `json:"config,omitempty"`
	Body        []byte                `json:"body,omitempty"` // the configuration as the operator sent it
	ConfigIndex uint64                `json:"accepted"`       // position at which the configuration was accepted
	Upstreams   map[string]*Upstream  `json:"upstreams"`      // by id
	Ownership   map[string]*Ownership `json:"owned"`          // by service
}

// Ownership is who owns the keys of a service.
type Ownership struct {
	Ranges  Ranges `json:"ranges"`
	Changed uint64 `json:"changed"`
}

// New returns an empty state.
func New() *State {
	return &State{Upstreams: make(map[string]*Upstream), Ownership: make(map[string]*Ownership)}
}

// Apply carries out the command at a position of the log and returns its answer.
func (s *State) Apply(index uint64, data []byte) []byte {
	s.Index = index
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return nil // a command of a later release: all replicas pass over it alike
	}
	if command.AcceptConfig != nil {
		s.accept(command.AcceptConfig)
	}
	for _, one := range command.Join {
		s.join(one)
	}
	for _, one := range command.SetPhase {
		s.enter(one)
	}
	for _, one := range command.Assignments {
		s.assign(one)
	}
	for _, one := range command.SetActive {
		s.take(one)
	}
	for _, one := range command.Forget {
		s.forget(one)
	}
	for _, one := range command.RenewTokens {
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

func (s *State) accept(a *AcceptConfig) {
	if s.Config != nil && a.Config.Version <= s.Config.Version {
		return
	}
	config := a.Config
	s.Config, s.Body, s.ConfigIndex = &config, a.Body, s.Index
	for name := range s.Ownership {
		if service := config.ServiceNamed(name); service == nil || !service.Keyed {
			delete(s.Ownership, name)
		}
	}
}

// join takes in a life that has announced itself. It takes the place of an earlier life under its id, and of an
// earlier one at its address.
func (s *State) join(u Upstream) {
	if known := s.Upstreams[u.ID]; known != nil {
		if u.StartMillis < known.StartMillis || u.StartMillis == known.StartMillis && known.Phase != Lost {
			return
		}
	}
	for _, other := range s.Upstreams {
		if other.ID == u.ID || other.Address != u.Address || other.Phase == Gone {
			continue
		}
		if other.StartMillis > u.StartMillis {
			return
		}
		other.Phase, other.Ended, other.Changed = Gone, true, s.Index
	}
	u.Changed = s.Index
	s.Upstreams[u.ID] = &u
}

func (s *State) enter(e PhaseChange) {
	u := s.Upstreams[e.ID]
	if u == nil || u.StartMillis != e.StartMillis || u.Phase == Gone || u.Phase == e.Phase {
		return
	}
	if u.Phase == Draining && e.Phase != Gone {
		return
	}
	u.Phase, u.Changed = e.Phase, s.Index
}

func (s *State) assign(a Assignment) {
	if s.Config == nil {
		return
	}
	service := s.Config.ServiceNamed(a.Service)
	if service == nil || !service.Keyed || a.Keys.From > a.Keys.To {
		return
	}
	owned := s.Ownership[a.Service]
	if owned == nil {
		owned = &Ownership{}
		s.Ownership[a.Service] = owned
	}
	if !owned.Ranges.allAre(a.Keys, a.ExpectedToken) {
		return
	}
	owned.Ranges = owned.Ranges.Put(Range{KeyRange: a.Keys, Owner: a.Owner, FencingToken: s.Index, Handover: a.Handover, Changed: s.Index})
	owned.Changed = s.Index
}

// allAre reports whether all the keys have this fence, or no owner where it is 0.
func (r Ranges) allAre(keys KeyRange, fence uint64) bool {
	covered := 0
	for _, one := range r {
		if !one.Overlaps(keys) {
			continue
		}
		if one.FencingToken != fence {
			return false
		}
		covered += int(min(one.To, keys.To)) - int(max(one.From, keys.From)) + 1
	}
	if fence == 0 {
		return covered == 0
	}
	return covered == keys.Size()
}

func (s *State) take(t ActiveChange) {
	owned := s.Ownership[t.Service]
	if owned == nil || !owned.Ranges.allAre(t.Keys, t.FencingToken) {
		return
	}
	for _, one := range slices.Clone(owned.Ranges) {
		if !one.Overlaps(t.Keys) || one.Active == t.Active {
			continue
		}
		one.KeyRange = KeyRange{max(one.From, t.Keys.From), min(one.To, t.Keys.To)}
		one.Active = t.Active
		one.Changed = s.Index
		owned.Ranges = owned.Ranges.Put(one)
		owned.Changed = s.Index
	}
}

// fence gives the keys of an owner a new fence. Those who follow the state need not hear of it: the owner stays.
func (s *State) fence(owner Instance) {
	for _, owned := range s.Ownership {
		next := slices.Clone(owned.Ranges)
		for i := range next {
			if next[i].Owner == owner {
				next[i].FencingToken = s.Index
			}
		}
		owned.Ranges = next.joined()
	}
}

func (s *State) forget(life Instance) {
	if u := s.Upstreams[life.ID]; u != nil && u.Instance == life && u.Phase == Gone {
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
	next.Ownership = make(map[string]*Ownership, len(s.Ownership))
	for service, owned := range s.Ownership {
		copied := *owned // ranges are replaced as a whole, never changed
		next.Ownership[service] = &copied
	}
	return next
}

// KeyedServices returns the names of the services that are divided by key.
func (s *State) KeyedServices() []string {
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

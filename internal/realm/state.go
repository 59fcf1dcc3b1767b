package realm

import (
	"encoding/json"
	"maps"
	"slices"

	"lovagelink.example/lovagelink/internal/route"
)

// State is the replicated state that the control hosts have agreed on.
type State struct {
	Index       uint64                `json:"index"`
	Config      *route.Config         `json:"config,omitempty"`
	Body        []byte                `json:"body,omitempty"` // the configuration as the operator sent it
	ConfigIndex uint64                `json:"accepted"`       // log index at which the configuration was accepted
	Upstreams   map[string]*Upstream  `json:"upstreams"`      // by id
	Ownership   map[string]*Ownership `json:"owned"`          // by service
	// KeepsOwners records that all members of the log keep the owners of services that a configuration no longer divides
	// by key. Hosts that become members later run the same release or a later one, and do so too.
	KeepsOwners bool `json:"keeps-owners,omitempty"`
}

// Ownership holds the owners of the keys of a service.
type Ownership struct {
	Ranges  Ranges `json:"ranges"`
	Changed uint64 `json:"changed"`
}

// New returns an empty state.
func New() *State {
	return &State{Upstreams: make(map[string]*Upstream), Ownership: make(map[string]*Ownership)}
}

// Apply applies the command at a log index and returns its encoded result.
func (s *State) Apply(index uint64, data []byte) []byte {
	s.Index = index
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return nil // a command of a later release, which all replicas of this release skip
	}
	s.KeepsOwners = s.KeepsOwners || command.KeepOwners
	if command.AcceptConfig != nil {
		s.acceptConfig(command.AcceptConfig, command.KeepOwners)
	}
	if len(command.AcceptPacked) > 0 {
		// All replicas skip a configuration that can't be decoded, as they do with the whole command above.
		if accept, err := unpackConfig(command.AcceptPacked); err == nil {
			s.acceptConfig(accept, command.KeepOwners)
		}
	}
	for _, upstream := range command.Join {
		s.join(upstream)
	}
	for _, change := range command.SetPhase {
		s.setPhase(change)
	}
	for _, change := range command.SetLimits {
		s.setLimit(change)
	}
	s.assignAll(command.Assignments)
	s.setActiveAll(command.SetActive)
	for _, instance := range command.Forget {
		s.forget(instance)
	}
	s.renewTokens(command.RenewTokens)
	s.withdrawAll(command.Withdrawals)
	result, _ := json.Marshal(Result{Version: s.Version()}) // a struct of one number can't fail to encode
	return result
}

// Version returns the version of the configuration in force, 0 if there is none.
func (s *State) Version() uint64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Version
}

// acceptConfig puts a configuration in force, unless the one in force has the same or a higher version. Services that are
// no longer divided by key keep their owners, since the grants of these owners are still in force if a service returns
// soon. Only a command of an earlier release, which has no Withdrawal, ends the ownership at once.
func (s *State) acceptConfig(a *AcceptConfig, keepOwners bool) {
	if s.Config != nil && a.Config.Version <= s.Config.Version {
		return
	}
	config := a.Config
	s.setConfig(&config, a.Body)
	for name := range s.Ownership {
		if !keepOwners && !s.IsKeyed(name) {
			delete(s.Ownership, name)
		}
	}
}

func (s *State) setConfig(config *route.Config, body []byte) {
	s.Config, s.Body, s.ConfigIndex = config, body, s.Index
}

// WithdrawnBy returns a service whose keys are or may be owned and which a configuration does not divide by key, the first
// by name, or an empty name if there is none.
func (s *State) WithdrawnBy(config *route.Config) string {
	names := slices.AppendSeq(s.KeyedServices(), maps.Keys(s.Ownership))
	slices.Sort(names)
	for _, name := range names {
		if service := config.ServiceNamed(name); service == nil || !service.Keyed {
			return name
		}
	}
	return ""
}

// withdrawAll ends the ownership of services that have not been divided by key since the decision.
func (s *State) withdrawAll(withdrawals []Withdrawal) {
	for _, w := range withdrawals {
		if w.ConfigIndex == s.ConfigIndex && !s.IsKeyed(w.Service) {
			delete(s.Ownership, w.Service)
		}
	}
}

// IsKeyed reports whether the configuration in force divides a service by key.
func (s *State) IsKeyed(name string) bool {
	if s.Config == nil {
		return false
	}
	service := s.Config.ServiceNamed(name)
	return service != nil && service.Keyed
}

// join adds an instance that has announced itself. It replaces an earlier instance under its id, and an earlier
// instance at its address.
func (s *State) join(u Upstream) {
	if current := s.Upstreams[u.ID]; current != nil {
		if u.StartMillis < current.StartMillis || u.StartMillis == current.StartMillis && current.Phase != Lost {
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
	if current := s.Upstreams[u.ID]; current != nil && current.Instance == u.Instance {
		u.Limit = current.Limit
	}
	u.Changed = s.Index
	s.Upstreams[u.ID] = &u
}

func (s *State) setLimit(change LimitChange) {
	u := s.Upstreams[change.ID]
	if u == nil || u.Instance != change.Instance || u.Phase == Gone || u.Limit == change.Limit {
		return
	}
	u.Limit, u.Changed = change.Limit, s.Index
}

func (s *State) setPhase(change PhaseChange) {
	u := s.Upstreams[change.ID]
	if u == nil || u.StartMillis != change.StartMillis || u.Phase == Gone || u.Phase == change.Phase {
		return
	}
	if u.Phase == Draining && change.Phase != Gone {
		return
	}
	u.Phase, u.Changed = change.Phase, s.Index
}

// assignAll makes assignments one after another.
func (s *State) assignAll(assignments []Assignment) {
	pending := newReplacements(s)
	for _, a := range assignments {
		if !s.IsKeyed(a.Service) || a.Keys.From > a.Keys.To {
			continue
		}
		ownership := s.Ownership[a.Service]
		if ownership == nil {
			ownership = &Ownership{}
			s.Ownership[a.Service] = ownership
		}
		pending.flushIfOverlapping(a.Service, a.Keys)
		if ownership.Ranges.allHaveToken(a.Keys, a.ExpectedToken) {
			pending.add(a.Service, Range{KeyRange: a.Keys, Owner: a.Owner, FencingToken: s.Index, Handover: a.Handover, Changed: s.Index})
		}
	}
	pending.flush()
}

// allHaveToken reports whether all the keys have this fencing token or, if it is 0, none of them has an owner.
func (r Ranges) allHaveToken(keys KeyRange, token uint64) bool {
	covered := 0
	for _, current := range r.overlapping(keys) {
		if current.FencingToken != token {
			return false
		}
		covered += int(min(current.To, keys.To)) - int(max(current.From, keys.From)) + 1
	}
	if token == 0 {
		return covered == 0
	}
	return covered == keys.Size()
}

// setActiveAll makes changes one after another.
func (s *State) setActiveAll(changes []ActiveChange) {
	pending := newReplacements(s)
	for _, change := range changes {
		if change.Keys.From > change.Keys.To {
			continue
		}
		pending.flushIfOverlapping(change.Service, change.Keys)
		ownership := s.Ownership[change.Service]
		if ownership == nil || !ownership.Ranges.allHaveToken(change.Keys, change.FencingToken) {
			continue
		}
		for _, r := range ownership.Ranges.overlapping(change.Keys) {
			if r.Active == change.Active {
				continue
			}
			r.KeyRange = KeyRange{max(r.From, change.Keys.From), min(r.To, change.Keys.To)}
			r.Active = change.Active
			r.Changed = s.Index
			pending.add(change.Service, r)
		}
	}
	pending.flush()
}

// renewTokens gives the keys of some owners new fencing tokens. Changed stays as it is, since followers don't need the
// token: the owner is the same.
func (s *State) renewTokens(owners []Instance) {
	if len(owners) == 0 {
		return
	}
	isNamed := make(map[Instance]bool, len(owners))
	for _, owner := range owners {
		isNamed[owner] = true
	}
	for _, ownership := range s.Ownership {
		next := slices.Clone(ownership.Ranges)
		for i := range next {
			if isNamed[next[i].Owner] {
				next[i].FencingToken = s.Index
			}
		}
		ownership.Ranges = next.merged()
	}
}

func (s *State) forget(instance Instance) {
	if u := s.Upstreams[instance.ID]; u != nil && u.Instance == instance && u.Phase == Gone {
		delete(s.Upstreams, instance.ID)
	}
}

// Clone returns a copy that later commands don't change.
func (s *State) Clone() State {
	next := *s
	next.Upstreams = make(map[string]*Upstream, len(s.Upstreams))
	for id, u := range s.Upstreams {
		copied := *u
		next.Upstreams[id] = &copied
	}
	next.Ownership = make(map[string]*Ownership, len(s.Ownership))
	for service, ownership := range s.Ownership {
		copied := *ownership // Ranges values are replaced, never changed in place
		next.Ownership[service] = &copied
	}
	return next
}

// KeyedServices returns the names of the services whose keys are assigned to owners.
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

// Sorted returns the upstreams sorted by id.
func (s *State) Sorted() []*Upstream {
	var all []*Upstream
	for _, id := range slices.Sorted(maps.Keys(s.Upstreams)) {
		all = append(all, s.Upstreams[id])
	}
	return all
}

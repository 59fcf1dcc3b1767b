package state

//go:generate go tool stringer -type Phase -linecomment

// Phase is the phase of an upstream's life cycle between its announcement and its removal.
type Phase int

// The phases of an upstream.
const (
	Serving  Phase = iota // serving
	Draining              // draining
	Lost                  // lost
)

// Upstream is the state of an upstream and its dispatcher.
type Upstream struct {
	Announced
	Phase                 Phase        `json:"phase"`
	Dispatcher            string       `json:"host"` // name of the dispatching host
	DispatcherIncarnation string       `json:"host-incarnation"`
	Epoch                 uint64       `json:"epoch"` // log index of the last change of the dispatcher, 0 before the first
	PreviousDispatcher    HostInstance `json:"before"`
}

// HostInstance identifies one run of a host's process.
type HostInstance struct {
	Host        string `json:"host,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
}

// join adds an upstream. A lost upstream that joins again starts without a dispatcher, so that its next dispatcher is
// assigned under a higher epoch.
func (s *State) join(announced Announced) {
	u := s.Upstreams[announced.ID]
	if u == nil {
		s.Upstreams[announced.ID] = &Upstream{Announced: announced}
		return
	}
	if u.Phase == Lost {
		*u = Upstream{Announced: announced, Epoch: u.Epoch}
	}
}

func (s *State) assignDispatchers(index uint64, changes []DispatcherAssignment) {
	for _, change := range changes {
		u := s.Upstreams[change.Upstream]
		if u == nil || u.Epoch != change.ExpectedEpoch || u.Phase == Lost {
			continue
		}
		u.PreviousDispatcher = HostInstance{Host: u.Dispatcher, Incarnation: u.DispatcherIncarnation}
		u.Dispatcher = change.Host
		u.DispatcherIncarnation = change.Incarnation
		u.Epoch = index
	}
}

// markLost marks an upstream as lost, takes all slots from it and assigns them to other upstreams.
func (s *State) markLost(index uint64, args MarkLost) {
	u := s.Upstreams[args.Upstream]
	if u == nil || u.Epoch != args.ExpectedEpoch || u.Phase == Lost {
		return
	}
	u.Phase = Lost
	u.Dispatcher = ""
	u.DispatcherIncarnation = ""
	u.Epoch = index
	for _, table := range s.Tables {
		table.releaseOwner(index, u.ID)
	}
	for i := range args.SlotAssignments {
		args.SlotAssignments[i].ExpectedEpoch = index
	}
	s.assignSlots(index, args.SlotAssignments)
}

func (s *State) drain(id string) {
	if u := s.Upstreams[id]; u != nil && u.Phase == Serving {
		u.Phase = Draining
	}
}

func (s *State) leave(id string) {
	u := s.Upstreams[id]
	if u == nil || u.Phase == Serving {
		return
	}
	if table := s.Tables[u.Service]; table != nil && table.owns(id) {
		return
	}
	delete(s.Upstreams, id)
}

// CanOwn reports whether an upstream may be assigned slots of a service.
func (s *State) CanOwn(id, service string) bool {
	u := s.Upstreams[id]
	return u != nil && u.Phase == Serving && u.Service == service
}

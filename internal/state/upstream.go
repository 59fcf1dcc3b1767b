package state

//go:generate go tool stringer -type Phase -linecomment

// Phase is where an upstream stands between announcing itself and leaving.
type Phase int

// The phases of an upstream.
const (
	Serving  Phase = iota // serving
	Draining              // draining
	Lost                  // lost
)

// Upstream is one upstream and its dispatcher.
type Upstream struct {
	Announced
	Phase                 Phase        `json:"phase"`
	Dispatcher            string       `json:"host"` // the dispatcher
	DispatcherIncarnation string       `json:"host-incarnation"`
	Epoch                 uint64       `json:"epoch"` // of the dispatcher
	PreviousDispatcher    HostInstance `json:"before"`
}

// HostInstance is one life of a host that has dispatched for an upstream.
type HostInstance struct {
	Host        string `json:"host,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
}

// join adds an upstream. A new life of its process starts without a dispatcher, so that the next
// one begins under a higher epoch.
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

func (s *State) dispatch(index uint64, changes []DispatcherAssignment) {
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

// lose takes all slots from an upstream and gives them to others.
func (s *State) lose(index uint64, args MarkLost) {
	u := s.Upstreams[args.Upstream]
	if u == nil || u.Epoch != args.ExpectedEpoch || u.Phase == Lost {
		return
	}
	u.Phase = Lost
	u.Dispatcher = ""
	u.DispatcherIncarnation = ""
	u.Epoch = index
	for _, table := range s.Tables {
		table.release(index, u.ID)
	}
	for i := range args.SlotAssignments {
		args.SlotAssignments[i].ExpectedEpoch = index
	}
	s.assign(index, args.SlotAssignments)
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

// CanOwn reports whether an upstream may be given slots of a service.
func (s *State) CanOwn(id, service string) bool {
	u := s.Upstreams[id]
	return u != nil && u.Phase == Serving && u.Service == service
}

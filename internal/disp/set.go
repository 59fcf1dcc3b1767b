package disp

import (
	"context"
	"maps"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"lovagelink.example/lovagelink/internal/conf"
	"lovagelink.example/lovagelink/internal/ctrl"
	"lovagelink.example/lovagelink/internal/state"
)

// Set holds the dispatchers of one host and keeps them in sync with the replicated state.
type Set struct {
	deps        Deps
	incarnation string
	store       *state.Store
	tomb        tomb.Tomb

	mu          sync.Mutex
	dispatchers map[string]*Dispatcher
	roles       map[string]Role
}

// NewSet returns a set for the given incarnation of the host.
func NewSet(store *state.Store, incarnation string, deps Deps) *Set {
	return &Set{
		deps: deps, incarnation: incarnation, store: store,
		dispatchers: make(map[string]*Dispatcher), roles: make(map[string]Role),
	}
}

// Start starts to follow the replicated state.
func (s *Set) Start() {
	s.tomb.Go(func() error {
		for {
			changed := s.store.Changed()
			s.sync(time.Now())
			select {
			case <-changed:
			case <-s.tomb.Dying():
				return nil
			}
		}
	})
}

// Stop stops all dispatchers.
func (s *Set) Stop() {
	s.tomb.Kill(nil)
	_ = s.tomb.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, d := range s.dispatchers {
		d.Stop()
		delete(s.dispatchers, id)
	}
}

// sync starts, updates and stops dispatchers according to the replicated state.
func (s *Set) sync(now time.Time) {
	roles := s.currentRoles()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roles = roles
	for id, d := range s.dispatchers {
		if role, ok := roles[id]; !ok || role.Upstream.Epoch != d.epoch || !d.compatibleWith(role) {
			go d.Stop()
			delete(s.dispatchers, id)
		}
	}
	for id, role := range roles {
		d := s.dispatchers[id]
		if d == nil {
			d = New(now, role, s.deps)
			s.dispatchers[id] = d
			d.Start()
		}
		d.Sync(now, role)
	}
}

// currentRoles returns the roles that the replicated state assigns to this host, by upstream.
func (s *Set) currentRoles() map[string]Role {
	roles := make(map[string]Role)
	s.store.Read(func(st *state.State) {
		for id, u := range st.Upstreams {
			service := st.Config.ServiceNamed(u.Service)
			if u.Dispatcher != s.deps.Host || u.DispatcherIncarnation != s.incarnation ||
				u.Phase == state.Lost || service == nil {
				continue
			}
			roles[id] = roleOf(st, u, service)
		}
		for id, role := range roles {
			if table := st.Tables[role.Upstream.Service]; table != nil {
				maps.Insert(role.Slots, table.SlotsOf(id))
			}
		}
	})
	return roles
}

func roleOf(st *state.State, u *state.Upstream, service *conf.Service) Role {
	role := Role{
		Upstream: *u, NonIdempotent: service.HasNonIdempotent(), Floors: st.Config.Floors(),
		Slots: make(map[int]state.Slot), ZoneBound: service.WhenCut == conf.Stay,
		Unkeyed: service.Key == nil,
	}
	if role.ZoneBound || st.IsHostUp(u.PreviousDispatcher) {
		role.PreviousDispatcher = u.PreviousDispatcher.Host
	}
	if role.Unkeyed && u.Phase == state.Serving {
		role.Slots[AnySlot] = state.Slot{Owner: u.ID, Epoch: u.Epoch}
	}
	return role
}

// Run runs a request if this host is the dispatcher of its upstream.
func (s *Set) Run(ctx context.Context, r Request) Outcome {
	s.mu.Lock()
	d := s.dispatchers[r.Upstream]
	s.mu.Unlock()
	if d == nil {
		return notRun(reasonMoved)
	}
	return d.Run(ctx, r)
}

// CheckAdmission reports whether a request would be refused now, with the refusal. A request whose dispatcher runs on
// another host is not refused.
func (s *Set) CheckAdmission(r Request) (Outcome, bool) {
	s.mu.Lock()
	d := s.dispatchers[r.Upstream]
	s.mu.Unlock()
	if d == nil {
		return Outcome{}, false
	}
	return d.CheckAdmission(r)
}

// Estimate returns how long an offloaded request of a rank would take at an upstream; ok is false if the upstream
// accepts none.
func (s *Set) Estimate(now time.Time, upstream string, rank int) (estimate Estimate, ok bool) {
	s.mu.Lock()
	d := s.dispatchers[upstream]
	s.mu.Unlock()
	if d == nil {
		return Estimate{}, false
	}
	return d.Estimate(now, rank)
}

// Retire closes this host's dispatcher of an upstream if another host has taken over under a higher epoch.
func (s *Set) Retire(upstream string, epoch uint64) {
	s.mu.Lock()
	d := s.dispatchers[upstream]
	s.mu.Unlock()
	if d != nil && d.epoch < epoch {
		d.close()
	}
}

// Report adds the states of the upstreams to a heartbeat, and the loads of their slots if withLoads is set.
func (s *Set) Report(now time.Time, withLoads bool, heartbeat *ctrl.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, d := range s.dispatchers {
		health := d.Health(now)
		if health.Reached {
			heartbeat.ReachableUpstreams = append(heartbeat.ReachableUpstreams, id)
		}
		if health.Draining {
			heartbeat.DrainingUpstreams = append(heartbeat.DrainingUpstreams, id)
		}
		if health.Idle && s.roles[id].Upstream.Phase == state.Draining {
			heartbeat.DrainedUpstreams = append(heartbeat.DrainedUpstreams, id)
		}
		if withLoads {
			if loads := d.loads(); len(loads.Slots) > 0 {
				heartbeat.Loads = append(heartbeat.Loads, loads)
			}
		}
	}
}

// loads returns the number of requests of each slot since the last report.
func (d *Dispatcher) loads() ctrl.SlotLoads {
	loads := ctrl.SlotLoads{Service: d.upstream.Service, Upstream: d.upstream.ID, Latency: d.recentServiceTime(time.Now())}
	d.Counts(func(slot, count int) {
		if slot != AnySlot {
			loads.Add(slot, count)
		}
	})
	return loads
}

// Health returns the health of each upstream that this host dispatches for, by upstream.
func (s *Set) Health(now time.Time) map[string]Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]Health, len(s.dispatchers))
	for id, d := range s.dispatchers {
		all[id] = d.Health(now)
	}
	return all
}

// Busy returns how many requests are queued or running on this host.
func (s *Set) Busy(now time.Time) int {
	busy := 0
	for _, health := range s.Health(now) {
		busy += health.Queued + health.Running
	}
	return busy
}

// compatibleWith reports whether a role has the floors and the kind of service that the dispatcher was created with.
func (d *Dispatcher) compatibleWith(role Role) bool {
	if len(role.Floors) != len(d.floors) || role.ZoneBound != d.zoneBound || role.Unkeyed != d.unkeyed {
		return false
	}
	for i, floor := range role.Floors {
		if floor != d.floors[i] {
			return false
		}
	}
	return true
}

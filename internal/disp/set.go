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

// Set holds the dispatchers of one host and keeps them in step with the state.
type Set struct {
	deps        Deps
	incarnation string
	feed        *state.Store
	tomb        tomb.Tomb

	mu    sync.Mutex
	disps map[string]*Dispatcher
	roles map[string]Role
}

// NewSet returns the set for this life of the host.
func NewSet(feed *state.Store, incarnation string, deps Deps) *Set {
	return &Set{
		deps: deps, incarnation: incarnation, feed: feed,
		disps: make(map[string]*Dispatcher), roles: make(map[string]Role),
	}
}

// Start follows the state.
func (s *Set) Start() {
	s.tomb.Go(func() error {
		for {
			changed := s.feed.Changed()
			s.sync(time.Now())
			select {
			case <-changed:
			case <-s.tomb.Dying():
				return nil
			}
		}
	})
}

// Stop ends all dispatchers.
func (s *Set) Stop() {
	s.tomb.Kill(nil)
	_ = s.tomb.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, d := range s.disps {
		d.Stop()
		delete(s.disps, id)
	}
}

// sync starts, changes and ends dispatchers as the state says.
func (s *Set) sync(now time.Time) {
	roles := s.present()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roles = roles
	for id, d := range s.disps {
		if role, ok := roles[id]; !ok || role.Upstream.Epoch != d.epoch || !d.fits(role) {
			go d.Stop()
			delete(s.disps, id)
		}
	}
	for id, role := range roles {
		d := s.disps[id]
		if d == nil {
			d = New(now, role, s.deps)
			s.disps[id] = d
			d.Start()
		}
		d.Sync(now, role)
	}
}

// present reads the roles of this host from the state.
func (s *Set) present() map[string]Role {
	roles := make(map[string]Role)
	s.feed.Read(func(st *state.State) {
		for id, u := range st.Upstreams {
			service := st.Config.ServiceNamed(u.Service)
			if u.Dispatcher != s.deps.Host || u.DispatcherIncarnation != s.incarnation || u.Phase == state.Lost || service == nil {
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

// Run carries out a request if this host dispatches for its upstream.
func (s *Set) Run(ctx context.Context, r Request) Outcome {
	s.mu.Lock()
	d := s.disps[r.Upstream]
	s.mu.Unlock()
	if d == nil {
		return notRun(reasonMoved)
	}
	return d.Run(ctx, r)
}

// CheckAdmission tells whether a request would be refused at present; one whose dispatcher is not here is not.
func (s *Set) CheckAdmission(r Request) (Outcome, bool) {
	s.mu.Lock()
	d := s.disps[r.Upstream]
	s.mu.Unlock()
	if d == nil {
		return Outcome{}, false
	}
	return d.CheckAdmission(r)
}

// Estimate tells how long offloaded work of a rank would take at an upstream; ok is false when none is taken.
func (s *Set) Estimate(now time.Time, upstream string, rank int) (expected Estimate, ok bool) {
	s.mu.Lock()
	d := s.disps[upstream]
	s.mu.Unlock()
	if d == nil {
		return Estimate{}, false
	}
	return d.Estimate(now, rank)
}

// Retire ends the dispatcher of an upstream here if another host has taken over under a higher epoch.
func (s *Set) Retire(upstream string, epoch uint64) {
	s.mu.Lock()
	d := s.disps[upstream]
	s.mu.Unlock()
	if d != nil && d.epoch < epoch {
		d.close()
	}
}

// Report adds to a heartbeat what the dispatchers know.
func (s *Set) Report(now time.Time, withLoads bool, beat *ctrl.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, d := range s.disps {
		health := d.Health(now)
		if health.Reached {
			beat.ReachableUpstreams = append(beat.ReachableUpstreams, id)
		}
		if health.Draining {
			beat.DrainingUpstreams = append(beat.DrainingUpstreams, id)
		}
		if health.Idle && s.roles[id].Upstream.Phase == state.Draining {
			beat.DrainedUpstreams = append(beat.DrainedUpstreams, id)
		}
		if withLoads {
			if loads := d.loads(); len(loads.Slots) > 0 {
				beat.Loads = append(beat.Loads, loads)
			}
		}
	}
}

// loads are the requests of each slot since the last report.
func (d *Dispatcher) loads() ctrl.SlotLoads {
	loads := ctrl.SlotLoads{Service: d.upstream.Service, Upstream: d.upstream.ID, Latency: d.took(time.Now())}
	d.Counts(func(slot, count int) {
		if slot != AnySlot {
			loads.Add(slot, count)
		}
	})
	return loads
}

// Health returns the health of each upstream that this host dispatches for.
func (s *Set) Health(now time.Time) map[string]Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]Health, len(s.disps))
	for id, d := range s.disps {
		all[id] = d.Health(now)
	}
	return all
}

// Busy returns how many requests wait or run on this host.
func (s *Set) Busy(now time.Time) int {
	busy := 0
	for _, health := range s.Health(now) {
		busy += health.Queued + health.Running
	}
	return busy
}

// fits reports whether a role keeps the ranks that the dispatcher was made with.
func (d *Dispatcher) fits(role Role) bool {
	if len(role.Floors) != len(d.floors) || role.ZoneBound != d.stays || role.Unkeyed != d.free {
		return false
	}
	for i, floor := range role.Floors {
		if floor != d.floors[i] {
			return false
		}
	}
	return true
}

package ctrl

import (
	"time"

	"lovagelink.example/lovagelink/internal/conf"
	"lovagelink.example/lovagelink/internal/state"
)

// reliefPeriod lies between two moves of dispatchers to hosts that have fewer.
const reliefPeriod = 500 * time.Millisecond

// planDispatch gives each upstream without a living dispatcher to the least burdened host, one of
// its own zone where there is one.
func (l *Controller) planDispatch(now time.Time, s *state.State) []state.DispatcherAssignment {
	burden := make(map[string]int)
	for _, u := range s.Upstreams {
		if hasDispatcher(s, u) {
			burden[u.Dispatcher]++
		}
	}
	var changes []state.DispatcherAssignment
	for _, id := range sortedKeys(s.Upstreams) {
		u := s.Upstreams[id]
		if u.Phase == state.Lost || hasDispatcher(s, u) && !l.hosts[u.Dispatcher].leaving {
			continue
		}
		host := l.pickHost(s, u, burden)
		if host == "" || host == u.Dispatcher && hasDispatcher(s, u) {
			continue
		}
		burden[host]++
		changes = append(changes, dispatchTo(s, u, host))
	}
	return append(changes, l.planRelief(now, s, burden)...)
}

func dispatchTo(s *state.State, u *state.Upstream, host string) state.DispatcherAssignment {
	return state.DispatcherAssignment{Upstream: u.ID, ExpectedEpoch: u.Epoch, Host: host, Incarnation: s.Hosts[host].Incarnation}
}

// planRelief moves one dispatcher now and then to a host of the same zone that has at least two
// fewer, so that hosts which came late get their share.
func (l *Controller) planRelief(now time.Time, s *state.State, burden map[string]int) []state.DispatcherAssignment {
	if now.Sub(l.relieved) < reliefPeriod {
		return nil
	}
	l.relieved = now
	for _, id := range sortedKeys(s.Upstreams) {
		u := s.Upstreams[id]
		host := l.pickHost(s, u, burden)
		if u.Phase != state.Serving || host == "" || !hasDispatcher(s, u) {
			continue
		}
		isNear := s.Hosts[host].Zone == u.Zone
		isFar := s.Hosts[u.Dispatcher].Zone != u.Zone
		if isNear && (isFar || burden[u.Dispatcher]-burden[host] >= 2) {
			return []state.DispatcherAssignment{dispatchTo(s, u, host)}
		}
	}
	return nil
}

func (l *Controller) pickHost(s *state.State, u *state.Upstream, burden map[string]int) string {
	best := ""
	for _, name := range sortedKeys(s.Hosts) {
		host := s.Hosts[name]
		isFar := host.Zone != u.Zone && isBound(s, u)
		if isFar || !l.canDispatch(s, name) {
			continue
		}
		if best == "" || isCloser(s, u, burden, name, best) {
			best = name
		}
	}
	return best
}

// isBound reports whether only hosts of its own zone may dispatch for an upstream.
func isBound(s *state.State, u *state.Upstream) bool {
	service := s.Config.ServiceNamed(u.Service)
	return service != nil && service.WhenCut == conf.Stay
}

// canDispatch reports whether a host that is up may be given an upstream. A host that has just been
// restarted must be marked up under its new life first.
func (l *Controller) canDispatch(s *state.State, name string) bool {
	host := s.Hosts[name]
	report, ok := l.hosts[name]
	return host.Up && ok && !report.leaving && report.incarnation == host.Incarnation
}

func isCloser(s *state.State, u *state.Upstream, burden map[string]int, a, b string) bool {
	isNearA, isNearB := s.Hosts[a].Zone == u.Zone, s.Hosts[b].Zone == u.Zone
	if isNearA != isNearB {
		return isNearA
	}
	return burden[a] < burden[b]
}

func hasDispatcher(s *state.State, u *state.Upstream) bool {
	host := s.Hosts[u.Dispatcher]
	return host != nil && host.Up && host.Incarnation == u.DispatcherIncarnation
}

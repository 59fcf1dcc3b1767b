package ctrl

import (
	"time"

	"lovagelink.example/lovagelink/internal/conf"
	"lovagelink.example/lovagelink/internal/state"
)

// dispatcherBalancePeriod is the time between two checks of whether a dispatcher should move to a host with fewer
// dispatchers.
const dispatcherBalancePeriod = 500 * time.Millisecond

// planDispatchers assigns each upstream without a live dispatcher, or with a dispatcher on a stopping host, to the host
// with the fewest dispatchers; hosts in the upstream's zone are preferred.
func (c *Controller) planDispatchers(now time.Time, s *state.State) []state.DispatcherAssignment {
	counts := make(map[string]int)
	for _, u := range s.Upstreams {
		if hasDispatcher(s, u) {
			counts[u.Dispatcher]++
		}
	}
	var changes []state.DispatcherAssignment
	for _, id := range sortedKeys(s.Upstreams) {
		u := s.Upstreams[id]
		if u.Phase == state.Lost || hasDispatcher(s, u) && !c.hosts[u.Dispatcher].leaving {
			continue
		}
		host := c.pickHost(s, u, counts)
		if host == "" || host == u.Dispatcher && hasDispatcher(s, u) {
			continue
		}
		counts[host]++
		changes = append(changes, dispatcherAssignment(s, u, host))
	}
	return append(changes, c.balanceDispatchers(now, s, counts)...)
}

func dispatcherAssignment(s *state.State, u *state.Upstream, host string) state.DispatcherAssignment {
	return state.DispatcherAssignment{Upstream: u.ID, ExpectedEpoch: u.Epoch, Host: host, Incarnation: s.Hosts[host].Incarnation}
}

// balanceDispatchers moves at most one dispatcher per dispatcherBalancePeriod to a host in the zone of the upstream:
// from a host in another zone, or from a host that has at least two dispatchers more. Hosts that joined late get their
// share this way.
func (c *Controller) balanceDispatchers(now time.Time, s *state.State, counts map[string]int) []state.DispatcherAssignment {
	if now.Sub(c.dispatchersBalancedAt) < dispatcherBalancePeriod {
		return nil
	}
	c.dispatchersBalancedAt = now
	for _, id := range sortedKeys(s.Upstreams) {
		u := s.Upstreams[id]
		host := c.pickHost(s, u, counts)
		if u.Phase != state.Serving || host == "" || !hasDispatcher(s, u) {
			continue
		}
		isLocal := s.Hosts[host].Zone == u.Zone
		isRemote := s.Hosts[u.Dispatcher].Zone != u.Zone
		if isLocal && (isRemote || counts[u.Dispatcher]-counts[host] >= 2) {
			return []state.DispatcherAssignment{dispatcherAssignment(s, u, host)}
		}
	}
	return nil
}

func (c *Controller) pickHost(s *state.State, u *state.Upstream, counts map[string]int) string {
	best := ""
	for _, name := range sortedKeys(s.Hosts) {
		host := s.Hosts[name]
		isExcluded := host.Zone != u.Zone && isZoneBound(s, u)
		if isExcluded || !c.canDispatch(s, name) {
			continue
		}
		if best == "" || isBetterHost(s, u, counts, name, best) {
			best = name
		}
	}
	return best
}

// isZoneBound reports whether only hosts in the upstream's zone may dispatch for the upstream.
func isZoneBound(s *state.State, u *state.Upstream) bool {
	service := s.Config.ServiceNamed(u.Service)
	return service != nil && service.WhenCut == conf.Stay
}

// canDispatch reports whether a host can be made a dispatcher: it is up and not stopping. A host that has restarted
// must first be marked up under its new incarnation.
func (c *Controller) canDispatch(s *state.State, name string) bool {
	host := s.Hosts[name]
	report, ok := c.hosts[name]
	return host.Up && ok && !report.leaving && report.incarnation == host.Incarnation
}

func isBetterHost(s *state.State, u *state.Upstream, counts map[string]int, a, b string) bool {
	isLocalA, isLocalB := s.Hosts[a].Zone == u.Zone, s.Hosts[b].Zone == u.Zone
	if isLocalA != isLocalB {
		return isLocalA
	}
	return counts[a] < counts[b]
}

func hasDispatcher(s *state.State, u *state.Upstream) bool {
	host := s.Hosts[u.Dispatcher]
	return host != nil && host.Up && host.Incarnation == u.DispatcherIncarnation
}

package front

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/admit"
)

// pool is the upstreams of one service in this host's order of preference: those in its own availability zone first, and
// among these an order of its own, which spreads the hosts over the upstreams.
type pool struct {
	list        *usable // the list from which the pool was made
	ready, lost []*upstream
}

// poolOf returns the pool of a service.
func (f *Front) poolOf(view *View, service string) *pool {
	ready, lost := view.Usable(service)
	list := view.upstreams.listOf(service)
	f.mu.Lock()
	p := f.pools[service]
	f.mu.Unlock()
	if p != nil && p.list == list {
		return p
	}
	p = &pool{list: list, ready: f.inOrder(ready), lost: f.inOrder(lost)}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pools[service] = p
	return p
}

// inOrder returns upstreams in this host's order of preference.
func (f *Front) inOrder(states []*UpstreamState) []*upstream {
	type placed struct {
		state *UpstreamState
		hash  uint64
	}
	order := make([]placed, 0, len(states))
	for _, state := range states {
		hash := fnv.New64a()
		hash.Write([]byte(f.site.Name))
		hash.Write([]byte(state.ID))
		order = append(order, placed{state, hash.Sum64()})
	}
	slices.SortFunc(order, func(a, b placed) int {
		aIsFar, bIsFar := a.state.Zone != f.site.Zone, b.state.Zone != f.site.Zone
		if aIsFar != bIsFar {
			if aIsFar {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.hash, b.hash)
	})
	upstreams := make([]*upstream, 0, len(order))
	for _, p := range order {
		upstreams = append(upstreams, f.upstreamFor(p.state.Upstream))
	}
	return upstreams
}

// best returns the upstream of a group with the lowest estimated latency, of those that the request has or has not been
// sent to, or nil if there is none. It looks at all of them only if none of the first few responds on target.
func (f *Front) best(now time.Time, c *call, group []*upstream, wasTried bool) *upstream {
	left := c.exchange.Arrived.Add(c.route.LatencyTarget).Sub(now)
	var candidates []admit.Candidate
	var upstreams []*upstream
	for _, u := range group {
		if c.tried[u.registration.ID] != wasTried || u.backoff(now) > 0 || u.isLeaving() || u.dryFor(now, c.route.Rank) > 0 {
			continue
		}
		candidates = append(candidates, admit.Candidate{IsNear: u.registration.Zone == f.site.Zone, Cost: u.cost(now)})
		upstreams = append(upstreams, u)
		if len(candidates) == admit.Subset {
			if first, ok := admit.ChooseNear(candidates, left); ok {
				return upstreams[first]
			}
		}
	}
	if i, ok := admit.Choose(candidates, left); ok {
		return upstreams[i]
	}
	return nil
}

// nextUse returns how long it takes until an upstream of the pool may be used again by requests of a rank,
// unreadyRetryAfter if none is to be expected.
func (p *pool) nextUse(now time.Time, rank int) time.Duration {
	next := time.Duration(0)
	for _, u := range p.ready {
		if backoff := max(u.backoff(now), u.dryFor(now, rank)); backoff > 0 && !u.isLeaving() && (next == 0 || backoff < next) {
			next = backoff
		}
	}
	if next == 0 {
		return unreadyRetryAfter
	}
	return next
}

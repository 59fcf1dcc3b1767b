package keyed

import (
	"cmp"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/realm"
)

// Rebalancing moves keys only for a clear gain, since requests for them wait during a move until the requests in
// progress at the previous owner have ended. The level of an upstream is its load per unit of its capacity.
const (
	overloadedRatio  = 1.3                    // an upstream with at least this multiple of the mean level is a source
	underloadedRatio = 0.9                    // an upstream with at most this share of the mean level gets keys
	balanceInterval  = 500 * time.Millisecond // least time between two rounds of rebalancing in one service, half of it with many upstreams
	minBalanceMoves  = 3                      // most moves in one round for few upstreams: requests for keys that move have to wait
	ownersPerMove    = 8                      // with many upstreams, one move in a round for each of this many
	maxPartsFromOne  = 64                     // parts that leave one upstream in a round
	quickWork        = 250 * time.Millisecond // usual work up to which many keys may move at a time
	maxNewOwners     = 4                      // upstreams among which one range of a lost or drained upstream is split
	minMoveLoad      = 0.1                    // least load that a move carries, as a share of the mean level
)

// Upstream is an upstream of the service as the leader sees it.
type Upstream struct {
	Instance           realm.Instance
	Zone               string
	Failing            time.Duration // how long its grants have failed
	Capacity           float64       // concurrent work that it can do: its slots, scaled by its speed
	IsReady            bool          // it can be assigned keys
	IsWarming          bool          // it is slow after its start, so that it gets keys only if there is no other
	IsEnded            bool          // its process has ended, since another upstream has its address; it has no grants
	IsUnresponsive     bool          // it acknowledges no grants; its keys are reassigned once its grants have expired
	IsDraining         bool          // it is shutting down, and its keys move to others
	ReleaseIsImmediate bool          // keys that it releases can be reassigned at once
}

// Move transfers keys from an owner that can release them to other upstreams. The owner releases all of them in one call.
type Move struct {
	Keys         realm.KeyRange
	Owner        realm.Instance
	FencingToken uint64
	Parts        []Part // cover the keys, in their order
}

// Part is the part of a move that goes to one upstream.
type Part struct {
	Keys      realm.KeyRange
	NextOwner realm.Instance
}

func newMove(keys realm.KeyRange, owner realm.Instance, token uint64, nextOwner realm.Instance) Move {
	return Move{Keys: keys, Owner: owner, FencingToken: token, Parts: []Part{{keys, nextOwner}}}
}

// joined returns the moves with those joined whose keys are adjacent and have the same owner and token. A busy upstream
// takes few calls, and each waits for its running work.
func joined(moves []Move) []Move {
	slices.SortFunc(moves, func(a, b Move) int { return int(a.Keys.From) - int(b.Keys.From) })
	var all []Move
	for _, m := range moves {
		if n := len(all); n > 0 && all[n-1].Owner == m.Owner && all[n-1].FencingToken == m.FencingToken && int(all[n-1].Keys.To)+1 == int(m.Keys.From) {
			all[n-1].Keys.To = m.Keys.To
			all[n-1].Parts = append(all[n-1].Parts, m.Parts...)
			continue
		}
		all = append(all, m)
	}
	return all
}

// Plan is a set of ownership changes for one service.
type Plan struct {
	Assignments []realm.Assignment
	Moves       []Move
}

// Planner plans the ownership of the keys of one service.
type Planner struct {
	service       string
	work          time.Duration // usual time of a request at an upstream, 0 if it is not known
	balancedAt    time.Time
	partitionedAt map[string]time.Time // by availability zone: when it was last seen cut off
}

// NewPlanner returns a planner for a service.
func NewPlanner(service string) *Planner {
	return &Planner{service: service, partitionedAt: make(map[string]time.Time)}
}

// SetWork sets the usual time of a request at an upstream. A move waits for the work that is running on its keys, and
// requests for them wait as long.
func (p *Planner) SetWork(work time.Duration) { p.work = work }

// pace returns how many moves one round of rebalancing makes at most, and the least time between two rounds. With many
// upstreams a round moves a part of what is needed only, if moves are quick.
func (p *Planner) pace(s *planState) (moves int, interval time.Duration) {
	if len(s.ready) <= maxCoarseOwners {
		return minBalanceMoves, balanceInterval
	}
	many := float64(len(s.ready)) / ownersPerMove
	if p.work <= quickWork {
		return int(many), balanceInterval / 2
	}
	slow := float64(quickWork) / float64(p.work)
	return max(minBalanceMoves, int(many*slow*slow*slow)), balanceInterval
}

// planState is the working state of one call of Plan.
type planState struct {
	weights    *weights
	total      float64 // requests that the weights are based on
	ready      []realm.Instance
	warm       []realm.Instance // the ready ones that are not warming, or all if there are no others
	releasable map[realm.Instance]bool
	capacity   map[realm.Instance]float64
	load       map[realm.Instance]float64
	meanLevel  float64 // total load of the ranges over the total capacity of the ready upstreams
}

// Plan returns the assignments that can be made at once and the moves to start. Ranges for which isMoving returns true
// are left alone; grantsExpired reports whether all grants to an instance have expired.
func (p *Planner) Plan(now time.Time, ranges realm.Ranges, upstreams []Upstream, loads *Loads,
	grantsExpired func(realm.Instance) bool, isMoving func(realm.KeyRange) bool,
) Plan {
	s := newPlanState(ranges, upstreams, loads)
	var plan Plan
	if len(s.ready) == 0 {
		return plan
	}
	for zone := range partitionedZones(ranges, upstreams) {
		p.partitionedAt[zone] = now
	}
	byInstance := make(map[realm.Instance]Upstream, len(upstreams))
	for _, u := range upstreams {
		byInstance[u.Instance] = u
	}
	for _, gap := range ranges.Gaps() {
		plan.Assignments = append(plan.Assignments, p.distribute(s, s.ready, gap, 0, len(s.ready))...)
	}
	for _, r := range ranges {
		u, isRegistered := byInstance[r.Owner]
		switch {
		case isMoving(r.KeyRange):
		case u.IsEnded:
			// Another upstream has the owner's address, and refuses grants that were sent to the owner.
			plan.Assignments = append(plan.Assignments, p.distribute(s, s.warm, r.KeyRange, r.FencingToken, maxNewOwners)...)
		case !isRegistered:
			// A grant to the previous instance may still be in flight, and may reach its successor.
			if next, ok := s.successor(r.Owner); ok {
				s.load[next] += s.weights.of(r.KeyRange)
				plan.Assignments = append(plan.Assignments, realm.Assignment{Service: p.service, Keys: r.KeyRange, Owner: next, ExpectedToken: r.FencingToken})
			} else if grantsExpired(r.Owner) {
				plan.Assignments = append(plan.Assignments, p.distribute(s, s.warm, r.KeyRange, r.FencingToken, maxNewOwners)...)
			}
		case u.IsUnresponsive && p.keepsKeys(now, u):
		case u.IsUnresponsive || u.IsDraining && grantsExpired(r.Owner):
			if grantsExpired(r.Owner) {
				plan.Assignments = append(plan.Assignments, p.distribute(s, s.warm, r.KeyRange, r.FencingToken, maxNewOwners)...)
			}
		case u.IsDraining:
			nextOwner := s.leastLoaded(s.warm)
			s.load[nextOwner] += s.weights.of(r.KeyRange)
			plan.Moves = append(plan.Moves, newMove(r.KeyRange, r.Owner, r.FencingToken, nextOwner))
		}
	}
	most, interval := p.pace(s)
	if len(plan.Assignments) == 0 && len(plan.Moves) == 0 && now.Sub(p.balancedAt) >= interval {
		p.balancedAt = now
		plan.Moves = p.balance(s, ranges, most, isMoving)
	}
	return plan
}

func newPlanState(ranges realm.Ranges, upstreams []Upstream, loads *Loads) *planState {
	s := &planState{
		total: loads.total(), capacity: make(map[realm.Instance]float64, len(upstreams)),
		releasable: make(map[realm.Instance]bool, len(upstreams)), load: make(map[realm.Instance]float64, len(upstreams)),
	}
	total, totalCapacity := 0.0, 0.0
	isWarming := make(map[realm.Instance]bool)
	for _, u := range upstreams {
		if u.IsReady {
			s.ready = append(s.ready, u.Instance)
			isWarming[u.Instance] = u.IsWarming
			if !u.IsWarming {
				s.warm = append(s.warm, u.Instance)
			}
			s.releasable[u.Instance] = u.ReleaseIsImmediate
			s.capacity[u.Instance] = max(minCapacity, u.Capacity)
		}
	}
	s.weights = loads.weightsFor(len(s.ready))
	for _, r := range ranges {
		weight := s.weights.of(r.KeyRange)
		s.load[r.Owner] += weight
		total += weight
	}
	if len(s.warm) == 0 {
		s.warm = s.ready
	}
	for _, instance := range s.ready {
		// An upstream that gets no keys yet would make all others seem overloaded.
		if !isWarming[instance] || s.load[instance] > 0 || len(s.warm) == len(s.ready) {
			totalCapacity += s.capacity[instance]
		}
	}
	if totalCapacity > 0 {
		s.meanLevel = total / totalCapacity
	}
	return s
}

// successor returns the ready instance that has started under the id of another instance.
func (s *planState) successor(instance realm.Instance) (realm.Instance, bool) {
	for _, candidate := range s.ready {
		if candidate.ID == instance.ID && candidate.StartMillis != instance.StartMillis {
			return candidate, true
		}
	}
	return realm.Instance{}, false
}

// minCapacity is the least capacity that an upstream counts with, so that one with a measured capacity of almost
// nothing is still part of the plan.
const minCapacity = 0.1

// level returns the load of an upstream per unit of its capacity.
func (s *planState) level(instance realm.Instance) float64 {
	return s.load[instance] / s.capacity[instance]
}

// leastLoaded returns the upstream with the lowest level, and of equals the first by id.
func (s *planState) leastLoaded(upstreams []realm.Instance) realm.Instance {
	return slices.MinFunc(upstreams, func(a, b realm.Instance) int {
		return cmp.Or(cmp.Compare(s.level(a), s.level(b)), cmp.Compare(a.ID, b.ID))
	})
}

// distribute splits a range into parts of about equal load and assigns each part to that of the upstreams with the lowest
// level.
func (p *Planner) distribute(s *planState, upstreams []realm.Instance, keys realm.KeyRange, expectedToken uint64, parts int) []realm.Assignment {
	weight := s.weights.of(keys)
	parts = max(1, min(parts, len(upstreams), keys.Size()))
	var assignments []realm.Assignment
	for left := parts; left > 0; left-- {
		part := keys
		if left > 1 {
			part.To = min(s.weights.splitKey(keys, weight/float64(parts)), keys.To-uint16(left-1))
		}
		nextOwner := s.leastLoaded(upstreams)
		s.load[nextOwner] += s.weights.of(part)
		assignments = append(assignments, realm.Assignment{Service: p.service, Keys: part, Owner: nextOwner, ExpectedToken: expectedToken})
		if part.To == keys.To {
			break
		}
		keys.From = part.To + 1
	}
	return assignments
}

package keyed

import (
	"cmp"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/realm"
)

// Balance: keys move only for a clear gain, since each move makes requests wait for the work under way.
const (
	tooMuch      = 1.3                    // load of an upstream over the mean above which it gives keys up
	tooLittle    = 0.9                    // below which one takes keys
	balanceGap   = 500 * time.Millisecond // between two rounds of moves for balance in one service
	balanceMoves = 3                      // in one round: while keys move, requests for them wait
	heirPieces   = 4                      // among how many the keys of a lost upstream are shared at most
	worthMoving  = 0.1                    // least part of the mean load that a move for balance carries
)

// Upstream is an upstream of the service as the leader sees it.
type Upstream struct {
	Instance           realm.Instance
	Zone               string
	Failing            time.Duration // for which it has taken no grants
	Capacity           float64       // work that it can do at a time: slots, less for a slow one
	IsReady            bool          // it takes more keys
	IsEnded            bool          // its process has ended, since another upstream has its address; it holds nothing
	IsUnresponsive     bool          // it answers no grants; its keys are free once its grants have ended
	IsDraining         bool          // it is on its way out and gives its keys up
	ReleaseIsImmediate bool          // keys that it releases are free at once
}

// Move takes keys from an owner that can release them and gives them to another one.
type Move struct {
	Keys         realm.KeyRange
	Owner        realm.Instance
	FencingToken uint64
	NextOwner    realm.Instance
}

// Plan is what to do for one service.
type Plan struct {
	Assignments []realm.Assignment
	Moves       []Move
}

// Planner plans the ownership of the keys of one service.
type Planner struct {
	service  string
	balanced time.Time
	cut      map[string]time.Time // availability zones by when they were last seen cut off
}

// NewPlanner returns a planner for a service.
func NewPlanner(service string) *Planner {
	return &Planner{service: service, cut: make(map[string]time.Time)}
}

// field is the state of one planning.
type field struct {
	weights [Buckets]float64
	ready   []realm.Instance
	movable map[realm.Instance]bool
	room    map[realm.Instance]float64 // capacity
	load    map[realm.Instance]float64
	mean    float64 // load for each unit of capacity
}

// Plan returns the assignments that can be made at once and the moves to begin. Keys that isMoving names are left
// alone; isFree tells whether all grants to a life have ended.
func (p *Planner) Plan(now time.Time, ranges realm.Ranges, upstreams []Upstream, loads *Loads,
	isFree func(realm.Instance) bool, isMoving func(realm.KeyRange) bool,
) Plan {
	f := newField(ranges, upstreams, loads)
	var plan Plan
	if len(f.ready) == 0 {
		return plan
	}
	for zone := range cutZones(ranges, upstreams) {
		p.cut[zone] = now
	}
	byLife := make(map[realm.Instance]Upstream)
	for _, u := range upstreams {
		byLife[u.Instance] = u
	}
	for _, gap := range ranges.Gaps() {
		plan.Assignments = append(plan.Assignments, p.share(f, gap, 0, len(f.ready))...)
	}
	for _, one := range ranges {
		u, isKnown := byLife[one.Owner]
		switch {
		case isMoving(one.KeyRange):
		case u.IsEnded:
			// Another upstream has its address and refuses what was sent to it.
			plan.Assignments = append(plan.Assignments, p.share(f, one.KeyRange, one.FencingToken, heirPieces)...)
		case !isKnown:
			// A grant to the ended life may be on its way, and reach the one that has its place.
			if next, ok := f.successor(one.Owner); ok {
				f.load[next] += weightOf(&f.weights, one.KeyRange)
				plan.Assignments = append(plan.Assignments, realm.Assignment{Service: p.service, Keys: one.KeyRange, Owner: next, ExpectedToken: one.FencingToken})
			} else if isFree(one.Owner) {
				plan.Assignments = append(plan.Assignments, p.share(f, one.KeyRange, one.FencingToken, heirPieces)...)
			}
		case u.IsUnresponsive && p.isPatient(now, u):
		case u.IsUnresponsive || u.IsDraining && isFree(one.Owner):
			if isFree(one.Owner) {
				plan.Assignments = append(plan.Assignments, p.share(f, one.KeyRange, one.FencingToken, heirPieces)...)
			}
		case u.IsDraining:
			heir := f.least()
			f.load[heir] += weightOf(&f.weights, one.KeyRange)
			plan.Moves = append(plan.Moves, Move{one.KeyRange, one.Owner, one.FencingToken, heir})
		}
	}
	if len(plan.Assignments) == 0 && len(plan.Moves) == 0 && now.Sub(p.balanced) >= balanceGap {
		p.balanced = now
		plan.Moves = p.balance(f, ranges, isMoving)
	}
	return plan
}

func newField(ranges realm.Ranges, upstreams []Upstream, loads *Loads) *field {
	f := &field{weights: loads.weights(), room: make(map[realm.Instance]float64), movable: make(map[realm.Instance]bool), load: make(map[realm.Instance]float64)}
	total, room := 0.0, 0.0
	for _, u := range upstreams {
		if u.IsReady {
			f.ready = append(f.ready, u.Instance)
			f.movable[u.Instance] = u.ReleaseIsImmediate
			f.room[u.Instance] = max(leastCapacity, u.Capacity)
			room += f.room[u.Instance]
		}
	}
	for _, one := range ranges {
		weight := weightOf(&f.weights, one.KeyRange)
		f.load[one.Owner] += weight
		total += weight
	}
	if room > 0 {
		f.mean = total / room
	}
	return f
}

// successor returns the later life of an upstream under the same id.
func (f *field) successor(life realm.Instance) (realm.Instance, bool) {
	for _, one := range f.ready {
		if one.ID == life.ID && one.StartMillis != life.StartMillis {
			return one, true
		}
	}
	return realm.Instance{}, false
}

// leastCapacity keeps an upstream that seems to do nothing at all in the reckoning.
const leastCapacity = 0.1

// level is the load of an upstream for each unit of its capacity.
func (f *field) level(life realm.Instance) float64 { return f.load[life] / f.room[life] }

// least returns the upstream with the least load for its capacity.
func (f *field) least() realm.Instance {
	return slices.MinFunc(f.ready, func(a, b realm.Instance) int {
		return cmp.Or(cmp.Compare(f.level(a), f.level(b)), cmp.Compare(a.ID, b.ID))
	})
}

// share assigns keys in pieces of equal load to those with the least load.
func (p *Planner) share(f *field, keys realm.KeyRange, was uint64, pieces int) []realm.Assignment {
	weight := weightOf(&f.weights, keys)
	pieces = max(1, min(pieces, len(f.ready), keys.Size()))
	var assigns []realm.Assignment
	for left := pieces; left > 0; left-- {
		piece := keys
		if left > 1 {
			piece.To = min(cutAt(&f.weights, keys, weight/float64(pieces)), keys.To-uint16(left-1))
		}
		heir := f.least()
		f.load[heir] += weightOf(&f.weights, piece)
		assigns = append(assigns, realm.Assignment{Service: p.service, Keys: piece, Owner: heir, ExpectedToken: was})
		if piece.To == keys.To {
			break
		}
		keys.From = piece.To + 1
	}
	return assigns
}

// balance finds some moves, each for another owner.
func (p *Planner) balance(f *field, ranges realm.Ranges, isMoving func(realm.KeyRange) bool) []Move {
	var moves []Move
	for len(moves) < balanceMoves {
		move, ok := f.balance(ranges, func(keys realm.KeyRange) bool {
			return isMoving(keys) || slices.ContainsFunc(moves, func(m Move) bool { return m.Keys.Overlaps(keys) })
		})
		if !ok {
			break
		}
		weight := weightOf(&f.weights, move.Keys)
		f.load[move.Owner] -= weight
		f.load[move.NextOwner] += weight
		moves = append(moves, move)
	}
	return moves
}

// balance finds one move from the upstream with the most load to the one with the least.
func (f *field) balance(ranges realm.Ranges, isMoving func(realm.KeyRange) bool) (Move, bool) {
	heir := f.least()
	isEmpty := f.load[heir] == 0
	if f.mean == 0 || !isEmpty && f.level(heir) > tooLittle*f.mean {
		return Move{}, false
	}
	// Keys of one whose grants may still be carried out late would wait for seconds for their next owner.
	donors := slices.DeleteFunc(slices.Clone(f.ready), func(life realm.Instance) bool { return !f.movable[life] })
	slices.SortFunc(donors, func(a, b realm.Instance) int {
		return cmp.Or(cmp.Compare(f.level(b), f.level(a)), cmp.Compare(a.ID, b.ID))
	})
	for _, donor := range donors {
		if !isEmpty && f.level(donor) < tooMuch*f.mean {
			break
		}
		spare := (f.level(donor) - f.mean) * f.room[donor]
		room := (f.mean - f.level(heir)) * f.room[heir]
		want := min(spare, room)
		if isEmpty {
			want = max(want, f.load[donor]/2)
		}
		if move, ok := f.piece(ranges, donor, want, isMoving); ok {
			move.NextOwner = heir
			return move, true
		}
	}
	return Move{}, false
}

// piece picks keys of about a wanted load from an edge of one range of a donor. Where a busy key lies at an edge, the
// keys at the other one go; the busy key stays, since it is as much for any other owner.
func (f *field) piece(ranges realm.Ranges, donor realm.Instance, want float64, isMoving func(realm.KeyRange) bool) (Move, bool) {
	var best Move
	bestWeight := 0.0
	consider := func(one realm.Range, keys realm.KeyRange) {
		weight := weightOf(&f.weights, keys)
		if weight <= 1.2*want && weight > bestWeight && !isMoving(keys) {
			best, bestWeight = Move{Keys: keys, Owner: donor, FencingToken: one.FencingToken}, weight
		}
	}
	for _, one := range ranges {
		if one.Owner != donor || !one.Active {
			continue
		}
		whole := weightOf(&f.weights, one.KeyRange)
		if whole <= want {
			consider(one, one.KeyRange)
			continue
		}
		low := one.KeyRange
		low.To = cutAt(&f.weights, one.KeyRange, want)
		consider(one, low)
		if cut := cutAt(&f.weights, one.KeyRange, whole-want); cut < one.To {
			consider(one, realm.KeyRange{From: cut + 1, To: one.To})
		}
	}
	return best, bestWeight >= worthMoving*f.mean
}

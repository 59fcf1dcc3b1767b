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
	Life      realm.Life
	Zone      string
	Failing   time.Duration // for which it has taken no grants
	Capacity  float64       // work that it can do at a time: slots, less for a slow one
	IsReady   bool          // it takes more keys
	IsEnded   bool          // its process has ended, since another upstream has its address; it holds nothing
	IsStuck   bool          // it answers no grants; its keys are free once its grants have ended
	IsLeaver  bool          // it is on its way out and gives its keys up
	IsMovable bool          // keys that it releases are free at once
}

// Move takes keys from an owner that can release them and gives them to another one.
type Move struct {
	Keys  realm.Keys
	Owner realm.Life
	Fence uint64
	Heir  realm.Life
}

// Plan is what to do for one service.
type Plan struct {
	Assign []realm.Assign
	Moves  []Move
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
	ready   []realm.Life
	movable map[realm.Life]bool
	room    map[realm.Life]float64 // capacity
	load    map[realm.Life]float64
	mean    float64 // load for each unit of capacity
}

// Plan returns the assignments that can be made at once and the moves to begin. Keys that isMoving names are left
// alone; isFree tells whether all grants to a life have ended.
func (p *Planner) Plan(now time.Time, ranges realm.Ranges, upstreams []Upstream, loads *Loads,
	isFree func(realm.Life) bool, isMoving func(realm.Keys) bool,
) Plan {
	f := newField(ranges, upstreams, loads)
	var plan Plan
	if len(f.ready) == 0 {
		return plan
	}
	for zone := range cutZones(ranges, upstreams) {
		p.cut[zone] = now
	}
	byLife := make(map[realm.Life]Upstream)
	for _, u := range upstreams {
		byLife[u.Life] = u
	}
	for _, gap := range ranges.Gaps() {
		plan.Assign = append(plan.Assign, p.share(f, gap, 0, len(f.ready))...)
	}
	for _, one := range ranges {
		u, isKnown := byLife[one.Owner]
		switch {
		case isMoving(one.Keys):
		case u.IsEnded:
			// Another upstream has its address and refuses what was sent to it.
			plan.Assign = append(plan.Assign, p.share(f, one.Keys, one.Fence, heirPieces)...)
		case !isKnown:
			// A grant to the ended life may be on its way, and reach the one that has its place.
			if next, ok := f.successor(one.Owner); ok {
				f.load[next] += weightOf(&f.weights, one.Keys)
				plan.Assign = append(plan.Assign, realm.Assign{Service: p.service, Keys: one.Keys, Owner: next, Was: one.Fence})
			} else if isFree(one.Owner) {
				plan.Assign = append(plan.Assign, p.share(f, one.Keys, one.Fence, heirPieces)...)
			}
		case u.IsStuck && p.isPatient(now, u):
		case u.IsStuck || u.IsLeaver && isFree(one.Owner):
			if isFree(one.Owner) {
				plan.Assign = append(plan.Assign, p.share(f, one.Keys, one.Fence, heirPieces)...)
			}
		case u.IsLeaver:
			heir := f.least()
			f.load[heir] += weightOf(&f.weights, one.Keys)
			plan.Moves = append(plan.Moves, Move{one.Keys, one.Owner, one.Fence, heir})
		}
	}
	if len(plan.Assign) == 0 && len(plan.Moves) == 0 && now.Sub(p.balanced) >= balanceGap {
		p.balanced = now
		plan.Moves = p.balance(f, ranges, isMoving)
	}
	return plan
}

func newField(ranges realm.Ranges, upstreams []Upstream, loads *Loads) *field {
	f := &field{weights: loads.weights(), room: make(map[realm.Life]float64), movable: make(map[realm.Life]bool), load: make(map[realm.Life]float64)}
	total, room := 0.0, 0.0
	for _, u := range upstreams {
		if u.IsReady {
			f.ready = append(f.ready, u.Life)
			f.movable[u.Life] = u.IsMovable
			f.room[u.Life] = max(leastCapacity, u.Capacity)
			room += f.room[u.Life]
		}
	}
	for _, one := range ranges {
		weight := weightOf(&f.weights, one.Keys)
		f.load[one.Owner] += weight
		total += weight
	}
	if room > 0 {
		f.mean = total / room
	}
	return f
}

// successor returns the later life of an upstream under the same id.
func (f *field) successor(life realm.Life) (realm.Life, bool) {
	for _, one := range f.ready {
		if one.ID == life.ID && one.Born != life.Born {
			return one, true
		}
	}
	return realm.Life{}, false
}

// leastCapacity keeps an upstream that seems to do nothing at all in the reckoning.
const leastCapacity = 0.1

// level is the load of an upstream for each unit of its capacity.
func (f *field) level(life realm.Life) float64 { return f.load[life] / f.room[life] }

// least returns the upstream with the least load for its capacity.
func (f *field) least() realm.Life {
	return slices.MinFunc(f.ready, func(a, b realm.Life) int {
		return cmp.Or(cmp.Compare(f.level(a), f.level(b)), cmp.Compare(a.ID, b.ID))
	})
}

// share assigns keys in pieces of equal load to those with the least load.
func (p *Planner) share(f *field, keys realm.Keys, was uint64, pieces int) []realm.Assign {
	weight := weightOf(&f.weights, keys)
	pieces = max(1, min(pieces, len(f.ready), keys.Size()))
	var assigns []realm.Assign
	for left := pieces; left > 0; left-- {
		piece := keys
		if left > 1 {
			piece.To = min(cutAt(&f.weights, keys, weight/float64(pieces)), keys.To-uint16(left-1))
		}
		heir := f.least()
		f.load[heir] += weightOf(&f.weights, piece)
		assigns = append(assigns, realm.Assign{Service: p.service, Keys: piece, Owner: heir, Was: was})
		if piece.To == keys.To {
			break
		}
		keys.From = piece.To + 1
	}
	return assigns
}

// balance finds some moves, each for another owner.
func (p *Planner) balance(f *field, ranges realm.Ranges, isMoving func(realm.Keys) bool) []Move {
	var moves []Move
	for len(moves) < balanceMoves {
		move, ok := f.balance(ranges, func(keys realm.Keys) bool {
			return isMoving(keys) || slices.ContainsFunc(moves, func(m Move) bool { return m.Keys.Meets(keys) })
		})
		if !ok {
			break
		}
		weight := weightOf(&f.weights, move.Keys)
		f.load[move.Owner] -= weight
		f.load[move.Heir] += weight
		moves = append(moves, move)
	}
	return moves
}

// balance finds one move from the upstream with the most load to the one with the least.
func (f *field) balance(ranges realm.Ranges, isMoving func(realm.Keys) bool) (Move, bool) {
	heir := f.least()
	isEmpty := f.load[heir] == 0
	if f.mean == 0 || !isEmpty && f.level(heir) > tooLittle*f.mean {
		return Move{}, false
	}
	// Keys of one whose grants may still be carried out late would wait for seconds for their next owner.
	donors := slices.DeleteFunc(slices.Clone(f.ready), func(life realm.Life) bool { return !f.movable[life] })
	slices.SortFunc(donors, func(a, b realm.Life) int {
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
			move.Heir = heir
			return move, true
		}
	}
	return Move{}, false
}

// piece picks keys of about a wanted load from an edge of one range of a donor. Where a busy key lies at an edge, the
// keys at the other one go; the busy key stays, since it is as much for any other owner.
func (f *field) piece(ranges realm.Ranges, donor realm.Life, want float64, isMoving func(realm.Keys) bool) (Move, bool) {
	var best Move
	bestWeight := 0.0
	consider := func(one realm.Range, keys realm.Keys) {
		weight := weightOf(&f.weights, keys)
		if weight <= 1.2*want && weight > bestWeight && !isMoving(keys) {
			best, bestWeight = Move{Keys: keys, Owner: donor, Fence: one.Fence}, weight
		}
	}
	for _, one := range ranges {
		if one.Owner != donor || !one.Active {
			continue
		}
		whole := weightOf(&f.weights, one.Keys)
		if whole <= want {
			consider(one, one.Keys)
			continue
		}
		low := one.Keys
		low.To = cutAt(&f.weights, one.Keys, want)
		consider(one, low)
		if cut := cutAt(&f.weights, one.Keys, whole-want); cut < one.To {
			consider(one, realm.Keys{From: cut + 1, To: one.To})
		}
	}
	return best, bestWeight >= worthMoving*f.mean
}

package ctrl

import (
	"fmt"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/place"
)

// Balancing of slots.
const (
	balancePeriod = 5 * time.Second
	balanceSlack  = 0.25                   // of the mean load
	balanceBudget = 8                      // moves in each period and service
	slotsPause    = 100 * time.Millisecond // between looks at all slots after changes
	idlePause     = 500 * time.Millisecond // and without changes
)

// planSlots looks at all slots, soon after a change of the state and now and then.
func (l *Controller) planSlots(now time.Time, s *state.State) []state.Command {
	pause := slotsPause
	if s.Index == l.slotsOf {
		pause = idlePause
	}
	if now.Sub(l.slotsAt) < pause {
		return nil
	}
	l.slotsAt, l.slotsOf = now, s.Index
	var commands []state.Command
	if assigns := l.planFill(now, s); len(assigns) > 0 {
		commands = append(commands, state.Command{SlotAssignments: assigns})
	}
	if moves := l.planMoves(now, s); len(moves) > 0 {
		commands = append(commands, state.Command{SlotMoves: moves})
	}
	return commands
}

// candidates lists the upstreams of a service that can be given slots now.
func (l *Controller) candidates(now time.Time, s *state.State, service string) []place.Owner {
	var able []capable
	for _, id := range sortedKeys(s.Upstreams) {
		u := s.Upstreams[id]
		isReached := now.Sub(l.reached[id]) < reachPeriod
		if s.CanOwn(id, service) && hasDispatcher(s, u) && isReached && !l.draining[id] {
			able = append(able, capable{id, u.Concurrency})
		}
	}
	return l.loads.speeds(now, able)
}

// planFill gives slots without an owner to upstreams. Slots of a service without keys stand for no
// ownership, so those of an upstream without a dispatcher are given to others at once.
func (l *Controller) planFill(now time.Time, s *state.State) []state.SlotAssignment {
	var assigns []state.SlotAssignment
	for _, name := range sortedKeys(s.Tables) {
		table := s.Tables[name]
		owners := ownersOf(table)
		if service := s.Config.ServiceNamed(name); service != nil && service.Key == nil {
			l.dropOrphans(s, owners)
		}
		for _, move := range place.Fill(owners, l.loads.of(name, len(table.Slots)), l.candidates(now, s, name)) {
			assigns = append(assigns, state.SlotAssignment{
				Service: name, Slot: move.Slot, ExpectedEpoch: table.Slots[move.Slot].Epoch, Owner: move.To,
			})
		}
	}
	return assigns
}

// dropOrphans takes slots from owners that no host can dispatch for at present.
func (l *Controller) dropOrphans(s *state.State, owners []string) {
	orphans := make(map[string]bool)
	for id, u := range s.Upstreams {
		orphans[id] = !hasDispatcher(s, u) && l.pickHost(s, u, nil) == ""
	}
	for i, owner := range owners {
		if orphans[owner] {
			owners[i] = ""
		}
	}
}

// heirs spreads the slots of a lost upstream over the others.
func (l *Controller) heirs(now time.Time, lost string) []state.SlotAssignment {
	l.mu.Lock()
	defer l.mu.Unlock()
	var assigns []state.SlotAssignment
	l.feed.Read(func(s *state.State) {
		u := s.Upstreams[lost]
		if u == nil || s.Tables[u.Service] == nil {
			return
		}
		table := s.Tables[u.Service]
		owners := ownersOf(table)
		for i, owner := range owners {
			if owner == lost {
				owners[i] = ""
			}
		}
		others := slices.DeleteFunc(l.candidates(now, s, u.Service), func(o place.Owner) bool { return o.Name == lost })
		for _, move := range place.Fill(owners, l.loads.of(u.Service, len(owners)), others) {
			if table.Slots[move.Slot].Owner == lost {
				assigns = append(assigns, state.SlotAssignment{Service: u.Service, Slot: move.Slot, Owner: move.To})
			}
		}
	})
	return assigns
}

// handOver turns releases into assignments to the owners that the moves lead to.
func (l *Controller) handOver(now time.Time, released []ReleasedSlot) []state.SlotAssignment {
	l.mu.Lock()
	defer l.mu.Unlock()
	var assigns []state.SlotAssignment
	l.feed.Read(func(s *state.State) {
		for _, one := range released {
			table := s.Tables[one.Service]
			if table == nil || one.Slot < 0 || one.Slot >= len(table.Slots) || table.Slots[one.Slot].Epoch != one.Epoch {
				continue
			}
			owner := heirOf(one, table.Slots[one.Slot].NextOwner, l.candidates(now, s, one.Service))
			assigns = append(assigns, state.SlotAssignment{Service: one.Service, Slot: one.Slot, ExpectedEpoch: one.Epoch, Owner: owner})
		}
	})
	return assigns
}

// heirOf is the owner that a move leads to, or another one if that can't be given slots any more.
func heirOf(one ReleasedSlot, next string, candidates []place.Owner) string {
	names := make([]string, len(candidates))
	for i, candidate := range candidates {
		names[i] = candidate.Name
	}
	if slices.Contains(names, next) {
		return next
	}
	return place.Best(fmt.Sprint(one.Service, one.Slot), names)
}

// planMoves empties draining upstreams at once and balances the rest now and then.
func (l *Controller) planMoves(now time.Time, s *state.State) []state.SlotMove {
	var moves []state.SlotMove
	isDue := now.Sub(l.planned) >= balancePeriod
	if isDue {
		l.planned = now
		defer l.loads.decay(now)
	}
	for _, name := range sortedKeys(s.Tables) {
		table := s.Tables[name]
		candidates := l.candidates(now, s, name)
		moves = append(moves, l.drainMoves(s, name, candidates)...)
		if isDue && !isMoving(table) {
			moves = append(moves, l.balanceMoves(name, table, candidates)...)
		}
	}
	return moves
}

func (l *Controller) drainMoves(s *state.State, service string, candidates []place.Owner) []state.SlotMove {
	table := s.Tables[service]
	owners := ownersOf(table)
	for i, owner := range owners {
		if u := s.Upstreams[owner]; u != nil && u.Phase == state.Draining {
			owners[i] = ""
		}
	}
	var moves []state.SlotMove
	for _, move := range place.Fill(owners, l.loads.of(service, len(owners)), candidates) {
		slot := table.Slots[move.Slot]
		if slot.Owner != "" && slot.NextOwner == "" {
			moves = append(moves, state.SlotMove{Service: service, Slot: move.Slot, ExpectedEpoch: slot.Epoch, To: move.To})
		}
	}
	return moves
}

func (l *Controller) balanceMoves(service string, table *state.Table, candidates []place.Owner) []state.SlotMove {
	planner := place.Planner{Slack: balanceSlack, Budget: balanceBudget}
	var moves []state.SlotMove
	for _, move := range planner.Balance(ownersOf(table), l.loads.of(service, len(table.Slots)), candidates) {
		moves = append(moves, state.SlotMove{
			Service: service, Slot: move.Slot, ExpectedEpoch: table.Slots[move.Slot].Epoch, To: move.To,
		})
	}
	return moves
}

func isMoving(table *state.Table) bool {
	return slices.ContainsFunc(table.Slots, func(slot state.Slot) bool { return slot.NextOwner != "" || slot.Owner == "" })
}

func ownersOf(table *state.Table) []string {
	owners := make([]string, len(table.Slots))
	for i, slot := range table.Slots {
		owners[i] = slot.Owner
	}
	return owners
}

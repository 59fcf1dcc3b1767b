package ctrl

import (
	"fmt"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/place"
)

// Limits and intervals of slot planning.
const (
	balancePeriod         = 5 * time.Second
	balanceSlack          = 0.25                   // share of the mean load by which an owner may exceed the mean
	balanceBudget         = 8                      // most moves per service in each balancePeriod
	planIntervalChanged   = 100 * time.Millisecond // least time between two plans if the state has changed
	planIntervalUnchanged = 500 * time.Millisecond // least time between two plans if the state has not changed
	expiryMargin          = 100 * time.Millisecond // added to the lease of a host before its grants count as expired
)

// planSlots assigns unowned slots and plans moves of slots. It runs soon after a change of the state, and at longer
// intervals without a change, since the reachability and the load of upstreams change too.
func (c *Controller) planSlots(now time.Time, s *state.State) []state.Command {
	interval := planIntervalChanged
	if s.Index == c.slotsPlannedIndex {
		interval = planIntervalUnchanged
	}
	if now.Sub(c.slotsPlannedAt) < interval {
		return nil
	}
	c.slotsPlannedAt, c.slotsPlannedIndex = now, s.Index
	var commands []state.Command
	if assignments := c.planUnowned(now, s); len(assignments) > 0 {
		commands = append(commands, state.Command{SlotAssignments: assignments})
	}
	if moves := c.planMoves(now, s); len(moves) > 0 {
		commands = append(commands, state.Command{SlotMoves: moves})
	}
	return commands
}

// candidates returns the upstreams of a service that can own slots now: they serve, have a dispatcher that reports
// them as reachable, and have not asked to be drained.
func (c *Controller) candidates(now time.Time, s *state.State, service string) []place.Owner {
	var capacities []capacity
	for _, id := range sortedKeys(s.Upstreams) {
		u := s.Upstreams[id]
		isReachable := now.Sub(c.reachedAt[id]) < reachableTTL
		if s.CanOwn(id, service) && hasDispatcher(s, u) && isReachable && !c.reportedDraining[id] {
			capacities = append(capacities, capacity{id, u.Concurrency})
		}
	}
	return c.loads.speeds(now, capacities)
}

// planUnowned assigns slots without an owner to upstreams. In a service without keys, slots don't express exclusive
// ownership, so the slots of an upstream that no host can dispatch for are reassigned at once.
func (c *Controller) planUnowned(now time.Time, s *state.State) []state.SlotAssignment {
	var assignments []state.SlotAssignment
	for _, name := range sortedKeys(s.Tables) {
		table := s.Tables[name]
		owners := ownersOf(table)
		service := s.Config.ServiceNamed(name)
		if service != nil && service.Key == nil {
			c.clearUndispatchable(s, owners)
		} else if c.mayHaveFormerOwners(now, s, name) {
			continue
		}
		for _, move := range place.Fill(owners, c.loads.forService(name, len(table.Slots)), c.candidates(now, s, name)) {
			assignments = append(assignments, state.SlotAssignment{
				Service: name, Slot: move.Slot, ExpectedEpoch: table.Slots[move.Slot].Epoch, Owner: move.To,
			})
		}
	}
	return assignments
}

// mayHaveFormerOwners reports whether upstreams may still hold slots of a service that has left the configuration and
// returned. Its table is new then, but grants under the former one expire only with the leases of the hosts that sent
// them. No grant can precede the first configuration.
func (c *Controller) mayHaveFormerOwners(now time.Time, s *state.State, service string) bool {
	isAssigned := slices.ContainsFunc(s.Tables[service].Slots, func(slot state.Slot) bool { return slot.Epoch > 0 })
	if isAssigned || s.ConfigVersion <= 1 {
		return false
	}
	since, ok := c.unassignedSince[service]
	if !ok {
		c.unassignedSince[service] = now
		return true
	}
	if now.Sub(since) < HostLeaseDuration+expiryMargin {
		return true
	}
	delete(c.unassignedSince, service) // the slots are assigned now
	return false
}

// clearUndispatchable clears each entry of owners whose upstream has no dispatcher and can't be given one now.
func (c *Controller) clearUndispatchable(s *state.State, owners []string) {
	undispatchable := make(map[string]bool)
	for id, u := range s.Upstreams {
		undispatchable[id] = !hasDispatcher(s, u) && c.pickHost(s, u, nil) == ""
	}
	for i, owner := range owners {
		if undispatchable[owner] {
			owners[i] = ""
		}
	}
}

// reassignLost returns assignments that spread the slots of a lost upstream over the other upstreams.
func (c *Controller) reassignLost(now time.Time, lost string) []state.SlotAssignment {
	c.mu.Lock()
	defer c.mu.Unlock()
	var assignments []state.SlotAssignment
	c.store.Read(func(s *state.State) {
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
		others := slices.DeleteFunc(c.candidates(now, s, u.Service), func(o place.Owner) bool { return o.Name == lost })
		for _, move := range place.Fill(owners, c.loads.forService(u.Service, len(owners)), others) {
			if table.Slots[move.Slot].Owner == lost {
				assignments = append(assignments, state.SlotAssignment{Service: u.Service, Slot: move.Slot, Owner: move.To})
			}
		}
	})
	return assignments
}

// assignReleased returns assignments of released slots to their next owners. A release under an outdated epoch is
// ignored.
func (c *Controller) assignReleased(now time.Time, released []ReleasedSlot) []state.SlotAssignment {
	c.mu.Lock()
	defer c.mu.Unlock()
	var assignments []state.SlotAssignment
	c.store.Read(func(s *state.State) {
		for _, slot := range released {
			table := s.Tables[slot.Service]
			if table == nil || slot.Slot < 0 || slot.Slot >= len(table.Slots) || table.Slots[slot.Slot].Epoch != slot.Epoch {
				continue
			}
			owner := nextOwner(slot, table.Slots[slot.Slot].NextOwner, c.candidates(now, s, slot.Service))
			assignments = append(assignments, state.SlotAssignment{Service: slot.Service, Slot: slot.Slot, ExpectedEpoch: slot.Epoch, Owner: owner})
		}
	})
	return assignments
}

// nextOwner returns the planned next owner of a slot, or another candidate if the planned owner can no longer be given
// slots.
func nextOwner(slot ReleasedSlot, planned string, candidates []place.Owner) string {
	names := make([]string, len(candidates))
	for i, candidate := range candidates {
		names[i] = candidate.Name
	}
	if slices.Contains(names, planned) {
		return planned
	}
	return place.Best(fmt.Sprint(slot.Service, slot.Slot), names)
}

// planMoves moves slots off draining upstreams at once. Once per balancePeriod it balances the slots of each service in
// which every slot has an owner and no move is planned.
func (c *Controller) planMoves(now time.Time, s *state.State) []state.SlotMove {
	var moves []state.SlotMove
	isBalanceDue := now.Sub(c.balancedAt) >= balancePeriod
	if isBalanceDue {
		c.balancedAt = now
		defer c.loads.decay(now)
	}
	for _, name := range sortedKeys(s.Tables) {
		table := s.Tables[name]
		candidates := c.candidates(now, s, name)
		moves = append(moves, c.planDrainMoves(s, name, candidates)...)
		if isBalanceDue && !hasUnsettledSlots(table) {
			moves = append(moves, c.planBalanceMoves(name, table, candidates)...)
		}
	}
	return moves
}

func (c *Controller) planDrainMoves(s *state.State, service string, candidates []place.Owner) []state.SlotMove {
	table := s.Tables[service]
	owners := ownersOf(table)
	for i, owner := range owners {
		if u := s.Upstreams[owner]; u != nil && u.Phase == state.Draining {
			owners[i] = ""
		}
	}
	var moves []state.SlotMove
	for _, move := range place.Fill(owners, c.loads.forService(service, len(owners)), candidates) {
		slot := table.Slots[move.Slot]
		if slot.Owner != "" && slot.NextOwner == "" {
			moves = append(moves, state.SlotMove{Service: service, Slot: move.Slot, ExpectedEpoch: slot.Epoch, To: move.To})
		}
	}
	return moves
}

func (c *Controller) planBalanceMoves(service string, table *state.Table, candidates []place.Owner) []state.SlotMove {
	planner := place.Planner{Slack: balanceSlack, Budget: balanceBudget}
	var moves []state.SlotMove
	for _, move := range planner.Balance(ownersOf(table), c.loads.forService(service, len(table.Slots)), candidates) {
		moves = append(moves, state.SlotMove{
			Service: service, Slot: move.Slot, ExpectedEpoch: table.Slots[move.Slot].Epoch, To: move.To,
		})
	}
	return moves
}

func hasUnsettledSlots(table *state.Table) bool {
	return slices.ContainsFunc(table.Slots, func(slot state.Slot) bool { return slot.NextOwner != "" || slot.Owner == "" })
}

func ownersOf(table *state.Table) []string {
	owners := make([]string, len(table.Slots))
	for i, slot := range table.Slots {
		owners[i] = slot.Owner
	}
	return owners
}

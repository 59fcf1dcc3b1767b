package ctrl

import (
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/state"
)

// plan returns the commands that should be proposed now.
func (c *Controller) plan(now time.Time) []state.Command {
	c.mu.Lock()
	defer c.mu.Unlock()
	var commands []state.Command
	c.store.Read(func(s *state.State) {
		commands = append(commands, c.planHosts(now, s)...)
		commands = append(commands, c.planJoins(s)...)
		commands = append(commands, c.planDrains(s)...)
		if dispatch := c.planDispatchers(now, s); len(dispatch) > 0 {
			commands = append(commands, state.Command{DispatcherAssignments: dispatch})
		}
		commands = append(commands, c.planSlots(now, s)...)
	})
	return commands
}

// planHosts marks hosts up when they send heartbeats, and marks hosts down when their lease has expired.
func (c *Controller) planHosts(now time.Time, s *state.State) []state.Command {
	var commands []state.Command
	for _, name := range sortedKeys(c.hosts) {
		report := c.hosts[name]
		host := s.Hosts[name]
		if host != nil && host.Up && host.Incarnation == report.incarnation {
			continue
		}
		c.leases.grant(now, name, report.incarnation)
		commands = append(commands, state.Command{HostStatus: &state.HostStatus{
			Name: name, Zone: report.zone, Incarnation: report.incarnation, Up: true,
		}})
	}
	for _, name := range sortedKeys(s.Hosts) {
		host := s.Hosts[name]
		if !host.Up || !c.leases.expire(now, name, host.Incarnation) {
			continue
		}
		if report, ok := c.hosts[name]; ok && report.incarnation != host.Incarnation {
			continue
		}
		delete(c.hosts, name)
		commands = append(commands, state.Command{HostStatus: &state.HostStatus{
			Name: name, Zone: host.Zone, Incarnation: host.Incarnation,
		}})
	}
	return commands
}

// planJoins adds upstreams that have announced themselves.
func (c *Controller) planJoins(s *state.State) []state.Command {
	var commands []state.Command
	for _, id := range sortedKeys(c.joining) {
		announced := c.joining[id]
		delete(c.joining, id)
		u := s.Upstreams[id]
		if u != nil && u.Phase != state.Lost {
			continue
		}
		commands = append(commands, state.Command{Join: &state.Join{Upstream: announced}})
	}
	return commands
}

// planDrains starts the drain of upstreams that have asked for it, and removes drained upstreams.
func (c *Controller) planDrains(s *state.State) []state.Command {
	var commands []state.Command
	for _, id := range sortedKeys(s.Upstreams) {
		u := s.Upstreams[id]
		isDrained := c.reportedDrained[id]
		delete(c.reportedDrained, id)
		switch {
		case u.Phase == state.Serving && c.reportedDraining[id]:
			commands = append(commands, state.Command{Drain: &state.Drain{Upstream: id}})
		case u.Phase == state.Draining && isDrained:
			commands = append(commands, state.Command{Leave: &state.Leave{Upstream: id}})
		}
		delete(c.reportedDraining, id)
	}
	return commands
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

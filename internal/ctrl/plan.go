package ctrl

import (
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/state"
)

// plan returns the changes that are due.
func (l *Controller) plan(now time.Time) []state.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	var commands []state.Command
	l.feed.Read(func(s *state.State) {
		commands = append(commands, l.planHosts(now, s)...)
		commands = append(commands, l.planJoins(s)...)
		commands = append(commands, l.planDrains(s)...)
		if dispatch := l.planDispatch(now, s); len(dispatch) > 0 {
			commands = append(commands, state.Command{DispatcherAssignments: dispatch})
		}
		commands = append(commands, l.planSlots(now, s)...)
	})
	return commands
}

// planHosts marks hosts up that send heartbeats and hosts down whose lease has ended.
func (l *Controller) planHosts(now time.Time, s *state.State) []state.Command {
	var commands []state.Command
	for _, name := range sortedKeys(l.hosts) {
		report := l.hosts[name]
		known := s.Hosts[name]
		if known != nil && known.Up && known.Incarnation == report.incarnation {
			continue
		}
		l.leases.welcome(now, name, report.incarnation)
		commands = append(commands, state.Command{HostStatus: &state.HostStatus{
			Name: name, Zone: report.zone, Incarnation: report.incarnation, Up: true,
		}})
	}
	for _, name := range sortedKeys(s.Hosts) {
		host := s.Hosts[name]
		if !host.Up || !l.leases.condemn(now, name, host.Incarnation) {
			continue
		}
		if report, ok := l.hosts[name]; ok && report.incarnation != host.Incarnation {
			continue
		}
		delete(l.hosts, name)
		commands = append(commands, state.Command{HostStatus: &state.HostStatus{
			Name: name, Zone: host.Zone, Incarnation: host.Incarnation,
		}})
	}
	return commands
}

// planJoins adds upstreams that have announced themselves.
func (l *Controller) planJoins(s *state.State) []state.Command {
	var commands []state.Command
	for _, id := range sortedKeys(l.joining) {
		announced := l.joining[id]
		delete(l.joining, id)
		known := s.Upstreams[id]
		if known != nil && known.Phase != state.Lost {
			continue
		}
		commands = append(commands, state.Command{Join: &state.Join{Upstream: announced}})
	}
	return commands
}

// planDrains begins and ends the leaving of upstreams.
func (l *Controller) planDrains(s *state.State) []state.Command {
	var commands []state.Command
	for _, id := range sortedKeys(s.Upstreams) {
		u := s.Upstreams[id]
		isIdle := l.idle[id]
		delete(l.idle, id)
		switch {
		case u.Phase == state.Serving && l.draining[id]:
			commands = append(commands, state.Command{Drain: &state.Drain{Upstream: id}})
		case u.Phase == state.Draining && isIdle:
			commands = append(commands, state.Command{Leave: &state.Leave{Upstream: id}})
		}
		delete(l.draining, id)
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

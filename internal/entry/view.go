package entry

import (
	"fmt"
	"slices"

	"lovagelink.example/lovagelink/internal/state"
)

// view is the part of the state whose changes the timeline shows.
type view struct {
	version   uint64
	hosts     map[string]bool // whether each host is up
	upstreams map[string]upstreamView
	owned     map[string]int // number of slots by owner
}

type upstreamView struct {
	phase      state.Phase
	dispatcher string
	epoch      uint64
}

// change is a difference between two views, as an event of the timeline.
type change struct {
	kind    string
	subject string
	detail  string
}

func newView() view {
	return view{
		hosts: make(map[string]bool), upstreams: make(map[string]upstreamView), owned: make(map[string]int),
	}
}

func viewOf(store *state.Store) view {
	v := newView()
	store.Read(func(s *state.State) {
		v.version = s.ConfigVersion
		for name, host := range s.Hosts {
			v.hosts[name] = host.Up
		}
		for id, u := range s.Upstreams {
			v.upstreams[id] = upstreamView{u.Phase, u.Dispatcher, u.Epoch}
		}
		for _, table := range s.Tables {
			for owner, count := range table.Counts() {
				v.owned[owner] += count
			}
		}
	})
	return v
}

// changesSince returns the changes from an earlier view, sorted by kind and subject.
func (v view) changesSince(previous view) []change {
	var changes []change
	if v.version != previous.version {
		changes = append(changes, change{"config-in-force", fmt.Sprint(v.version), ""})
	}
	for name, up := range v.hosts {
		if wasUp, ok := previous.hosts[name]; up && !wasUp {
			changes = append(changes, change{"host-up", name, ""})
		} else if !up && (wasUp || !ok) {
			changes = append(changes, change{"host-down", name, ""})
		}
	}
	for id, u := range v.upstreams {
		changes = append(changes, u.changesSince(id, previous)...)
	}
	for id := range previous.upstreams {
		if _, ok := v.upstreams[id]; !ok {
			changes = append(changes, change{"upstream-left", id, ""})
		}
	}
	for id := range v.upstreams {
		if v.owned[id] != previous.owned[id] {
			changes = append(changes, change{"slots", id, fmt.Sprintf("%d, were %d", v.owned[id], previous.owned[id])})
		}
	}
	slices.SortFunc(changes, func(a, b change) int {
		return slices.Compare([]string{a.kind, a.subject}, []string{b.kind, b.subject})
	})
	return changes
}

func (u upstreamView) changesSince(id string, previous view) []change {
	var changes []change
	before, ok := previous.upstreams[id]
	if !ok || u.phase != before.phase {
		changes = append(changes, change{"upstream-" + u.phase.String(), id, ""})
	}
	if u.dispatcher != before.dispatcher && u.dispatcher != "" {
		changes = append(changes, change{"dispatcher", id, u.dispatcher})
	}
	return changes
}

package realm

import "lovagelink.example/lovagelink/internal/route"

// maxPastConfigs is the number of configurations that are kept in order to send followers only what has changed since.
// A follower with an older one gets the whole configuration.
const maxPastConfigs = 16

// configAt is a configuration and the log index since which it has been in force.
type configAt struct {
	index  uint64
	config *route.Config
}

// Frozen is the state at one log index, which later commands don't change.
type Frozen struct {
	state   State
	configs []configAt // the latest configurations, oldest first
}

// Index returns the log index of the state.
func (f *Frozen) Index() uint64 { return f.state.Index }

// Config returns the configuration in force, which must not be changed, or nil if there is none.
func (f *Frozen) Config() *route.Config { return f.state.Config }

// Since returns the parts of the state that have changed after a log index.
func (f *Frozen) Since(index uint64) Update {
	update := Update{Index: f.state.Index, Ranges: make(map[string]Ranges)}
	if f.state.Config != nil && f.state.ConfigIndex > index {
		update.ConfigIndex = f.state.ConfigIndex
		if past := f.configAt(index); past != nil {
			update.ConfigChange = route.Diff(past, f.state.Config)
		} else {
			update.Config = f.state.Config
		}
	}
	for _, u := range f.state.Sorted() {
		if u.Changed > index {
			update.Upstreams = append(update.Upstreams, *u)
		}
	}
	for name, ownership := range f.state.Ownership {
		if ownership.Changed <= index {
			continue
		}
		for _, r := range ownership.Ranges {
			if r.Changed > index {
				r.Handover = "" // for the next owner only
				update.Ranges[name] = append(update.Ranges[name], r)
			}
		}
	}
	return update
}

// configAt returns the configuration that was in force at a log index, or nil if it is no longer kept.
func (f *Frozen) configAt(index uint64) *route.Config {
	for i := len(f.configs) - 1; i >= 0; i-- {
		if f.configs[i].index <= index {
			return f.configs[i].config
		}
	}
	return nil
}

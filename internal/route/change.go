package route

import "reflect"

// Change holds what differs between two configurations. It is as small as the difference: a configuration may have
// thousands of routes, of which an operator changes a few at a time.
type Change struct {
	From     uint64    `json:"from"` // version of the configuration that the change applies to
	Version  uint64    `json:"version"`
	Services []Service `json:"services"` // all services of the new configuration
	Limits   Limits    `json:"limits"`
	Set      []Route   `json:"set,omitempty"`    // routes that are new or differ
	Remove   []Key     `json:"remove,omitempty"` // routes that the new configuration lacks
}

// Key identifies a route within a configuration.
type Key struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
}

func (r *Route) key() Key { return Key{r.Host, r.Prefix} }

// Diff returns the change that turns one configuration into another.
func Diff(from, to *Config) *Change {
	change := &Change{From: from.Version, Version: to.Version, Services: to.Services, Limits: to.Limits}
	before := make(map[Key]*Route, len(from.Routes))
	for i := range from.Routes {
		before[from.Routes[i].key()] = &from.Routes[i]
	}
	for i := range to.Routes {
		key := to.Routes[i].key()
		if old := before[key]; old == nil || !reflect.DeepEqual(*old, to.Routes[i]) {
			change.Set = append(change.Set, to.Routes[i])
		}
		delete(before, key)
	}
	for i := range from.Routes {
		if key := from.Routes[i].key(); before[key] != nil {
			change.Remove = append(change.Remove, key)
		}
	}
	return change
}

// Apply returns the configuration that the change leads to; the order of its routes may differ from the original's. It
// returns nil if the change applies to another configuration than from.
func (c *Change) Apply(from *Config) *Config {
	if from == nil || from.Version != c.From {
		return nil
	}
	replaced := make(map[Key]bool, len(c.Set)+len(c.Remove))
	for i := range c.Set {
		replaced[c.Set[i].key()] = true
	}
	for _, key := range c.Remove {
		replaced[key] = true
	}
	next := &Config{Version: c.Version, Services: c.Services, Limits: c.Limits}
	next.Routes = make([]Route, 0, len(from.Routes)+len(c.Set))
	for i := range from.Routes {
		if !replaced[from.Routes[i].key()] {
			next.Routes = append(next.Routes, from.Routes[i])
		}
	}
	next.Routes = append(next.Routes, c.Set...)
	return next
}

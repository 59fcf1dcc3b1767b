package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Table finds the route of a request in one configuration.
type Table struct {
	Config *Config
	hosts  map[string][]*Route // by host name in lower case, longest prefix first
}

// NewTable returns an index of a configuration, which it retains.
func NewTable(config *Config) *Table {
	t := &Table{Config: config, hosts: make(map[string][]*Route)}
	for i := range config.Routes {
		r := &config.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Find returns the route of the host with the longest prefix of the path, or nil if there is none.
func (t *Table) Find(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.hosts[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = t.hosts[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

package route

import (
	"math"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// slackOverTimeout is how far a latency objective may lie above the timeout of its route; from the operator's API.
const slackOverTimeout = time.Minute

// Check reports the first fault of a configuration, with its place and a remedy.
func (c *Config) Check() error {
	services := make(map[string]bool)
	for _, service := range c.Services {
		if service.Name == "" {
			return trace.BadParameter("services: one has no name; give each a name")
		}
		services[service.Name] = true
	}
	type place struct{ host, prefix string }
	seen := make(map[place]string)
	for _, r := range c.Routes {
		at := place{strings.ToLower(r.Host), r.Prefix}
		if other, ok := seen[at]; ok {
			return trace.BadParameter("route %q: has the host and prefix of route %q; remove one of them", r.Name, other)
		}
		seen[at] = r.Name
		if err := r.check(services); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (r *Route) check(services map[string]bool) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return trace.BadParameter("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Destinations) == 0 {
		return trace.BadParameter("route %q: names no service; name one, or several with weights", r.Name)
	}
	total := 0.0
	for _, part := range r.Destinations {
		if !services[part.Service] {
			return trace.BadParameter("route %q: service %q is not among the services; add it or correct the name", r.Name, part.Service)
		}
		if part.Weight < 0 || math.IsNaN(part.Weight) || math.IsInf(part.Weight, 0) {
			return trace.BadParameter("route %q: weight %v of service %q is not a number from 0 up", r.Name, part.Weight, part.Service)
		}
		total += part.Weight
	}
	if total <= 0 {
		return trace.BadParameter("route %q: all weights are 0; give one service a weight above 0", r.Name)
	}
	if r.Timeout <= 0 {
		return trace.BadParameter("route %q: timeout %v must be above 0", r.Name, r.Timeout)
	}
	if r.LatencyTarget >= r.Timeout+slackOverTimeout {
		return trace.BadParameter("route %q: latency objective %v is a minute or more above the timeout %v; lower it", r.Name, r.LatencyTarget, r.Timeout)
	}
	return nil
}

// ServiceNamed returns the service of this name, or nil.
func (c *Config) ServiceNamed(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

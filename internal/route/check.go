package route

import (
	"math"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// maxTargetOverTimeout bounds how far the latency target of a route may exceed its timeout; the bound comes from the
// operator's API.
const maxTargetOverTimeout = time.Minute

// Check returns an error for the first invalid setting of a configuration; the error names the setting and a remedy.
func (c *Config) Check() error {
	services := make(map[string]bool)
	for _, service := range c.Services {
		if service.Name == "" {
			return trace.BadParameter("services: one has no name; give each a name")
		}
		services[service.Name] = true
	}
	type hostPrefix struct{ host, prefix string }
	seen := make(map[hostPrefix]string)
	for _, r := range c.Routes {
		match := hostPrefix{strings.ToLower(r.Host), r.Prefix}
		if other, ok := seen[match]; ok {
			return trace.BadParameter("route %q: has the host and prefix of route %q; remove one of them", r.Name, other)
		}
		seen[match] = r.Name
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
	for _, destination := range r.Destinations {
		if !services[destination.Service] {
			return trace.BadParameter("route %q: service %q is not among the services; add it or correct the name", r.Name, destination.Service)
		}
		if destination.Weight < 0 || math.IsNaN(destination.Weight) || math.IsInf(destination.Weight, 0) {
			return trace.BadParameter("route %q: weight %v of service %q is not a number from 0 up", r.Name, destination.Weight, destination.Service)
		}
		total += destination.Weight
	}
	if total <= 0 {
		return trace.BadParameter("route %q: all weights are 0; give one service a weight above 0", r.Name)
	}
	if r.Timeout <= 0 {
		return trace.BadParameter("route %q: timeout %v must be above 0", r.Name, r.Timeout)
	}
	if r.LatencyTarget >= r.Timeout+maxTargetOverTimeout {
		return trace.BadParameter("route %q: latency objective %v is a minute or more above the timeout %v; lower it", r.Name, r.LatencyTarget, r.Timeout)
	}
	return nil
}

// ServiceNamed returns the service with this name, or nil if there is none.
func (c *Config) ServiceNamed(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

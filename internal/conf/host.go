package conf

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/gravitational/trace"
)

// Host holds the settings of one entry host.
type Host struct {
	Name       string         `yaml:"name" validate:"required"`
	Zone       string         `yaml:"zone" validate:"required"`
	Callers    netip.AddrPort `yaml:"callers" validate:"required"`
	Upstreams  netip.AddrPort `yaml:"upstreams" validate:"required"`
	Operators  netip.AddrPort `yaml:"operators" validate:"required"`
	DataFolder string         `yaml:"data-folder,omitempty"`
	Hosts      []Peer         `yaml:"hosts" validate:"required,min=1,dive"`
}

// Peer holds the settings of an entry host that other hosts need.
type Peer struct {
	Name    string         `yaml:"name" validate:"required"`
	Zone    string         `yaml:"zone" validate:"required"`
	Address netip.AddrPort `yaml:"address" validate:"required"` // for control messages
	Forward netip.AddrPort `yaml:"forward" validate:"required"` // for requests that another host forwards to a dispatcher
	Replica bool           `yaml:"replica,omitempty"`
}

// LoadHost reads the settings of a host from a file.
func LoadHost(path string) (Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Host{}, trace.Wrap(err, "settings %s can't be read; name a file with --settings", path)
	}
	var host Host
	if err := Decode(data, &host); err != nil {
		return Host{}, trace.BadParameter("settings %s: %v", path, err)
	}
	if err := host.Check(); err != nil {
		return Host{}, trace.BadParameter("settings %s: %v", path, err)
	}
	return host, nil
}

// Check validates rules that involve several fields.
func (h Host) Check() error {
	names := make(map[string]bool)
	replicas := 0
	for i, peer := range h.Hosts {
		if names[peer.Name] {
			return fmt.Errorf("hosts[%d]: name %q stands twice; give each host its own", i, peer.Name)
		}
		names[peer.Name] = true
		if peer.Replica {
			replicas++
		}
	}
	self, ok := h.Self()
	switch {
	case !ok:
		return fmt.Errorf("hosts: %q itself is missing; add it to the list", h.Name)
	case self.Zone != h.Zone:
		return fmt.Errorf("zone: %q here but %q in hosts; make them equal", h.Zone, self.Zone)
	case self.Replica && h.DataFolder == "":
		return fmt.Errorf("data-folder: a replica needs one; name a folder on a disk of this host")
	case replicas%2 == 0:
		return fmt.Errorf("hosts: %d replicas; mark an odd number, three or five", replicas)
	}
	return nil
}

// Self returns this host's own entry in the list of hosts.
func (h Host) Self() (Peer, bool) {
	for _, peer := range h.Hosts {
		if peer.Name == h.Name {
			return peer, true
		}
	}
	return Peer{}, false
}

// Replicas returns the names of the hosts with a replica of the control log.
func (h Host) Replicas() []string {
	var names []string
	for _, peer := range h.Hosts {
		if peer.Replica {
			names = append(names, peer.Name)
		}
	}
	return names
}

package site

import (
	"net/netip"
	"time"
)

// Host holds the settings of one process.
type Host struct {
	Name       string
	Zone       string
	IP         netip.Addr
	Internal   uint16 // first port for traffic between hosts, the same on all hosts
	Seeds      []netip.AddrPort
	Bootstrap  bool // the system starts for the first time, with empty disks
	DataFolder string

	Callers          netip.AddrPort // listening address for callers
	ReadinessAddress netip.AddrPort // listening address for the load balancer's readiness checks
	Control          netip.AddrPort // listening address for upstreams and operators

	Processor   float64 // share of one core that the process gets, 0 if the settings don't say
	Memory      int64   // bytes
	Descriptors int
	Bounds      Bounds
	LostHosts   int // control hosts that may be lost at a time, with their disks
}

// Bounds are the times and ratios that the platform sets for all hosts.
type Bounds struct {
	Drain             time.Duration // from the acknowledgement that an upstream drains to its last request
	Grace             time.Duration // from the request to stop to the forced termination of the process
	MaxGrantTTL       time.Duration // longest TTL of a grant of keys
	RetryRatio        float64       // retries as a fraction of the requests to their service
	RetryWindow       time.Duration // window over which RetryRatio is measured
	RetrySlack        int           // retries allowed in addition to RetryRatio, over all hosts
	CatchUp           time.Duration // from the start of a control host until another one may be lost
	HeartbeatInterval time.Duration // interval between heartbeats of an upstream
}

// PeerAddress returns the address on which the control host with the given public address listens for other hosts.
func (h Host) PeerAddress(control netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(control.Addr(), h.Internal)
}

// PeerName returns the name under which other hosts know the control host with the given public address.
func (h Host) PeerName(control netip.AddrPort) string {
	return h.PeerAddress(control).String()
}

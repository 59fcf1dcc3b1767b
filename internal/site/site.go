package site

import (
	"net/netip"
	"time"
)

// Host is what one process is told when it starts.
type Host struct {
	Name       string
	Zone       string
	IP         netip.Addr
	Internal   uint16 // first of the ports for traffic between hosts, the same on all hosts
	Seeds      []netip.AddrPort
	Bootstrap  bool // the whole system starts for the first time, with empty disks
	DataFolder string

	Callers          netip.AddrPort // where callers' connections arrive
	ReadinessAddress netip.AddrPort // where the balancer asks whether this host takes callers
	Control          netip.AddrPort // where upstreams and the operator call

	Memory      int64 // bytes
	Descriptors int
	Bounds      Bounds
}

// Bounds are the periods and shares that the platform sets for all hosts.
type Bounds struct {
	Drain             time.Duration // from the acknowledgement that an upstream leaves to its last request
	Grace             time.Duration // from the request to stop to the forced end
	MaxGrantTTL       time.Duration // longest grant of keys
	RetryRatio        float64       // requests sent again, as a share of the requests to their service
	RetryWindow       time.Duration // over which that share is taken
	RetrySlack        int           // requests that may be sent again besides, over all hosts
	HeartbeatInterval time.Duration // between two heartbeats of an upstream
}

// PeerAddress returns where the control host whose public address is given listens for other hosts.
func (h Host) PeerAddress(control netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(control.Addr(), h.Internal)
}

// PeerName names a control host to other hosts.
func (h Host) PeerName(control netip.AddrPort) string {
	return h.PeerAddress(control).String()
}

package ctrl

import (
	"time"
)

// holding is the lease of one host as the leader sees it.
type holding struct {
	incarnation string
	ends        time.Time
	condemned   bool // no renewal any more: the host is being marked down
}

// leases is the leader's record of the leases that it, or a leader before it, may have granted.
type leases struct {
	hosts map[string]*holding
}

// newLeases assumes that a former leader has renewed all leases just before it lost its own.
func newLeases(now time.Time, incarnations map[string]string) *leases {
	l := &leases{hosts: make(map[string]*holding)}
	for name, incarnation := range incarnations {
		l.hosts[name] = &holding{incarnation: incarnation, ends: now.Add(HostLeaseDuration)}
	}
	return l
}

// renew extends the lease of a host; it refuses one that is being marked down.
func (l *leases) renew(now time.Time, name, incarnation string) bool {
	h := l.hosts[name]
	if h == nil || h.incarnation != incarnation || h.condemned {
		return false
	}
	h.ends = now.Add(HostLeaseDuration)
	return true
}

// condemn reports whether the lease of this life of a host has ended, and if so keeps it from
// being renewed.
func (l *leases) condemn(now time.Time, name, incarnation string) bool {
	h := l.hosts[name]
	if h == nil || h.incarnation != incarnation {
		return true
	}
	if now.Before(h.ends) {
		return false
	}
	h.condemned = true
	return true
}

// welcome opens the record of a host that is being marked up.
func (l *leases) welcome(now time.Time, name, incarnation string) {
	l.hosts[name] = &holding{incarnation: incarnation, ends: now.Add(HostLeaseDuration)}
}

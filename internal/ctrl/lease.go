package ctrl

import (
	"time"
)

// hostLease is the lease of one host as the leader sees it.
type hostLease struct {
	incarnation string
	expires     time.Time
	expired     bool // the host is being marked down, so the lease is not renewed any more
}

// leases records the leases that this leader or a previous leader may have granted.
type leases struct {
	hosts map[string]*hostLease
}

// newLeases returns the leases of the given incarnations by host. It assumes that the previous leader renewed all
// leases just before it lost its own lease.
func newLeases(now time.Time, incarnations map[string]string) *leases {
	l := &leases{hosts: make(map[string]*hostLease)}
	for name, incarnation := range incarnations {
		l.hosts[name] = &hostLease{incarnation: incarnation, expires: now.Add(HostLeaseDuration)}
	}
	return l
}

// renew extends the lease of a host, and reports whether it did so: a host that is being marked down gets no renewal.
func (l *leases) renew(now time.Time, name, incarnation string) bool {
	lease := l.hosts[name]
	if lease == nil || lease.incarnation != incarnation || lease.expired {
		return false
	}
	lease.expires = now.Add(HostLeaseDuration)
	return true
}

// expire reports whether the lease of this incarnation of a host has expired. An expired lease is not renewed any more.
func (l *leases) expire(now time.Time, name, incarnation string) bool {
	lease := l.hosts[name]
	if lease == nil || lease.incarnation != incarnation {
		return true
	}
	if now.Before(lease.expires) {
		return false
	}
	lease.expired = true
	return true
}

// grant records a lease for a host that is being marked up.
func (l *leases) grant(now time.Time, name, incarnation string) {
	l.hosts[name] = &hostLease{incarnation: incarnation, expires: now.Add(HostLeaseDuration)}
}

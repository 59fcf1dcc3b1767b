package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/conf"
	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/place"
)

// Timing of the lease of a partitioned zone.
const (
	zonePollInterval = 150 * time.Millisecond
	zonePollTimeout  = 120 * time.Millisecond
)

// zoneReply says whether a host holds a lease from the leader.
type zoneReply struct {
	Leased bool `json:"leased"`
}

// zoneLease lets the hosts of a zone that is cut off as a whole continue to dispatch for the services that stay in
// their zone. A majority of the zone's hosts must reach each other, and none of them may hold a lease from the
// leader.
type zoneLease struct {
	host *Host

	mu    sync.Mutex
	until time.Time
}

// LeaseUntil returns the time until which this host may dispatch for services that stay in their zone: the later
// end of its lease from the leader and of the zone's lease.
func (z *zoneLease) LeaseUntil() time.Time {
	lease := z.host.client.LeaseUntil()
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.until.After(lease) {
		return z.until
	}
	return lease
}

// isActive reports whether the zone operates under its own lease, without a lease from the leader.
func (z *zoneLease) isActive(now time.Time) bool {
	if now.Before(z.host.client.LeaseUntil()) {
		return false
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	return now.Before(z.until)
}

// run renews the zone's lease while this host has no lease from the leader. Before the first configuration there is
// nothing to serve.
func (z *zoneLease) run() error {
	ticker := time.NewTicker(zonePollInterval)
	defer ticker.Stop()
	wasActive := false
	for {
		select {
		case <-z.host.tomb.Dying():
			return nil
		case now := <-ticker.C:
			isLeased := now.Before(z.host.client.LeaseUntil())
			if !isLeased && z.host.hasConfig() && z.poll(now) {
				z.extend(now.Add(disp.ZoneLease))
			}
			if isActive := z.isActive(time.Now()); isActive != wasActive {
				wasActive = isActive
				z.recordChange(isActive)
			}
		}
	}
}

func (z *zoneLease) recordChange(isActive bool) {
	kind := "zone-rejoined"
	if isActive {
		kind = "zone-alone"
	}
	z.host.recordEvent(kind, z.host.settings.Zone, "")
}

func (z *zoneLease) extend(until time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.until = until
}

// poll asks the zone's other hosts whether they hold a lease from the leader. It reports whether a majority of the
// zone's hosts, including this host, has replied and none of them holds a lease.
func (z *zoneLease) poll(now time.Time) bool {
	var others []string
	for host, zone := range z.host.zones {
		if zone == z.host.settings.Zone && host != z.host.settings.Name {
			others = append(others, host)
		}
	}
	ctx, cancel := context.WithDeadline(z.host.tomb.Context(context.Background()), now.Add(zonePollTimeout))
	defer cancel()
	count := 1
	for _, reply := range callHosts[zoneReply](ctx, z.host, others, "zone", struct{}{}) {
		if reply.err != nil {
			continue
		}
		if reply.value.Leased {
			return false
		}
		count++
	}
	return 2*count > len(others)+1
}

// serveZone reports to another host of the zone whether this host holds a lease from the leader.
func (z *zoneLease) serveZone(context.Context, string, struct{}) (zoneReply, error) {
	return zoneReply{Leased: time.Now().Before(z.host.client.LeaseUntil())}, nil
}

// lookupInZone returns an upstream of this zone for a service without keys that stays in its zone, and the host
// that dispatches for that upstream. While the zone is cut off, lost upstreams are not removed from the state, so
// an upstream that already failed to run this request is chosen last.
func (h *Host) lookupInZone(now time.Time, p *parsedRequest) (upstream, host string) {
	h.store.Read(func(s *state.State) {
		var untried, tried []string
		for _, u := range s.Upstreams {
			isInZone := u.Zone == h.settings.Zone && h.zones[u.Dispatcher] == h.settings.Zone
			isReachable := u.Dispatcher == h.settings.Name || h.endpoint.CanReach(now, u.Dispatcher)
			switch {
			case u.Service != p.Service || u.Phase != state.Serving || !isInZone || !isReachable:
			case slices.Contains(p.refusedBy, u.ID):
				tried = append(tried, u.ID)
			default:
				untried = append(untried, u.ID)
			}
		}
		if len(untried) == 0 {
			untried = tried
		}
		if upstream = place.Best(p.ID, untried); upstream != "" {
			host = s.Upstreams[upstream].Dispatcher
		}
	})
	return upstream, host
}

// isZoneLocal reports whether a request is served within the zone: the zone operates under its own lease, and the
// service has no keys and stays in its zone.
func (h *Host) isZoneLocal(now time.Time, p *parsedRequest) bool {
	if !h.zoneLease.isActive(now) {
		return false
	}
	isLocal := false
	h.store.Read(func(s *state.State) {
		service := s.Config.ServiceNamed(p.Service)
		isLocal = service != nil && service.Key == nil && service.WhenCut == conf.Stay
	})
	return isLocal
}

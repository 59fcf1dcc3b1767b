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

// Periods of a zone's own authority.
const (
	zonePeriod  = 150 * time.Millisecond
	zoneTimeout = 120 * time.Millisecond
)

// zoneReply tells whether a host holds a lease from the leader.
type zoneReply struct {
	Leased bool `json:"leased"`
}

// zoneLease lets the hosts of a zone that is cut off as a whole go on dispatching for the services
// that stay: a majority of the zone's hosts must be in touch, and none of them with the leader.
type zoneLease struct {
	host *Host

	mu    sync.Mutex
	until time.Time
}

// LeaseUntil returns until when this host may dispatch for services that stay in their zone.
func (z *zoneLease) LeaseUntil() time.Time {
	lease := z.host.client.LeaseUntil()
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.until.After(lease) {
		return z.until
	}
	return lease
}

// isAlone reports whether the zone goes on by itself at present.
func (z *zoneLease) isAlone(now time.Time) bool {
	if now.Before(z.host.client.LeaseUntil()) {
		return false
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	return now.Before(z.until)
}

// run renews the zone's authority while this host has no lease from the leader. Before the first
// configuration there is nothing to serve.
func (z *zoneLease) run() error {
	ticker := time.NewTicker(zonePeriod)
	defer ticker.Stop()
	wasAlone := false
	for {
		select {
		case <-z.host.tomb.Dying():
			return nil
		case now := <-ticker.C:
			isLeased := now.Before(z.host.client.LeaseUntil())
			if !isLeased && z.host.hasConfig() && z.poll(now) {
				z.extend(now.Add(disp.ZoneLease))
			}
			if isAlone := z.isAlone(time.Now()); isAlone != wasAlone {
				wasAlone = isAlone
				z.noteChange(isAlone)
			}
		}
	}
}

func (z *zoneLease) noteChange(isAlone bool) {
	kind := "zone-rejoined"
	if isAlone {
		kind = "zone-alone"
	}
	z.host.note(kind, z.host.settings.Zone, "")
}

func (z *zoneLease) extend(until time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.until = until
}

// poll asks the zone's other hosts; it reports whether a majority has no lease and nobody has one.
func (z *zoneLease) poll(now time.Time) bool {
	var others []string
	for host, zone := range z.host.zones {
		if zone == z.host.settings.Zone && host != z.host.settings.Name {
			others = append(others, host)
		}
	}
	ctx, cancel := context.WithDeadline(z.host.tomb.Context(context.Background()), now.Add(zoneTimeout))
	defer cancel()
	count := 1
	for _, one := range ask[zoneReply](ctx, z.host, others, "zone", struct{}{}) {
		if one.err != nil {
			continue
		}
		if one.value.Leased {
			return false
		}
		count++
	}
	return 2*count > len(others)+1
}

// serveZone tells another host of the zone whether this one holds a lease.
func (z *zoneLease) serveZone(context.Context, string, struct{}) (zoneReply, error) {
	return zoneReply{Leased: time.Now().Before(z.host.client.LeaseUntil())}, nil
}

// lookupLocal returns an upstream of the own zone for a service without keys that stays, and the
// host of the zone that dispatches for it. While the zone is alone nobody takes a lost upstream out of
// the state, so one that has not run this request already comes last.
func (h *Host) lookupLocal(now time.Time, p *parsed) (upstream, host string) {
	h.feed.Read(func(s *state.State) {
		var fresh, tried []string
		for _, u := range s.Upstreams {
			isNear := u.Zone == h.settings.Zone && h.zones[u.Dispatcher] == h.settings.Zone
			isUsable := u.Dispatcher == h.settings.Name || h.hub.CanReach(now, u.Dispatcher)
			switch {
			case u.Service != p.Service || u.Phase != state.Serving || !isNear || !isUsable:
			case slices.Contains(p.refusedBy, u.ID):
				tried = append(tried, u.ID)
			default:
				fresh = append(fresh, u.ID)
			}
		}
		if len(fresh) == 0 {
			fresh = tried
		}
		if upstream = place.Best(p.ID, fresh); upstream != "" {
			host = s.Upstreams[upstream].Dispatcher
		}
	})
	return upstream, host
}

// goesLocal reports whether a request is served by the zone alone at present.
func (h *Host) goesLocal(now time.Time, p *parsed) bool {
	if !h.zoneLease.isAlone(now) {
		return false
	}
	isLocal := false
	h.feed.Read(func(s *state.State) {
		service := s.Config.ServiceNamed(p.Service)
		isLocal = service != nil && service.Key == nil && service.WhenCut == conf.Stay
	})
	return isLocal
}

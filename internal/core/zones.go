package core

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/pause"
)

// zoneRequestInterval is the time between rounds of asking control hosts for their availability zones. A zone never
// changes, so each host is asked until it has replied once.
const zoneRequestInterval = time.Second

// Member is a control host that accepts follow requests.
type Member struct {
	Name string `json:"name"`
	Zone string `json:"zone,omitempty"` // empty until the zone is known
	// Leads is true for the leader of the log, which has other work to do: it is followed and sent heartbeats only if
	// there is no other control host in the zone.
	Leads bool `json:"leads,omitempty"`
}

func (h *Host) handleZone(context.Context, string, struct{}) (string, error) { return h.site.Zone, nil }

// learnZones asks the control hosts for their zones, so that other hosts and upstreams can use one in their own zone,
// and for what they understand.
func (h *Host) learnZones() error {
	ctx := h.tomb.Context(context.Background())
	for h.tomb.Alive() {
		for _, member := range h.membersWithZones(time.Now()) {
			if ctx.Err() == nil {
				h.learnFeatures(ctx, member.Name)
			}
		}
		for _, member := range h.membersWithZones(time.Now()) {
			if member.Zone != "" || ctx.Err() != nil {
				continue
			}
			zone, err := callWithTimeout[string](ctx, h, member.Name, "zone", struct{}{})
			if err != nil {
				continue // asked again in the next round
			}
			h.mu.Lock()
			h.zones[member.Name] = zone
			h.mu.Unlock()
		}
		pause.For(ctx, zoneRequestInterval)
	}
	return nil
}

// membersWithZones returns the members of the log with their zones.
func (h *Host) membersWithZones(now time.Time) []Member {
	names := h.memberNames(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	members := make([]Member, 0, len(names))
	for _, name := range names {
		members = append(members, Member{Name: name, Zone: h.zones[name]})
	}
	return members
}

// ControlHostIn returns the public address of a control host in a zone that does not lead; it reports false if this host
// itself is one, or no other is known.
func (h *Host) ControlHostIn(now time.Time, zone string) (netip.AddrPort, bool) {
	_, leads := h.leads(now)
	if zone == h.site.Zone && !leads {
		return netip.AddrPort{}, false
	}
	var inZone []string
	for _, member := range h.controlHosts(now) {
		if member.Zone == zone && !member.Leads {
			inZone = append(inZone, member.Name)
		}
	}
	if len(inZone) == 0 {
		return netip.AddrPort{}, false
	}
	// Each host names another one of the zone, so that the upstreams of a zone spread over its control hosts.
	own := slices.IndexFunc(h.controlHosts(now), func(m Member) bool { return m.Name == h.name })
	peer, err := netip.ParseAddrPort(inZone[max(0, own)%len(inZone)])
	if err != nil {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(peer.Addr(), h.site.Control.Port()), true
}

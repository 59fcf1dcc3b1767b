package core

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/pause"
)

// surveyGap lies between two rounds of asking control hosts for their availability zones. A zone never changes, so each
// is asked until it has answered once.
const surveyGap = time.Second

// Member is a control host that can be followed.
type Member struct {
	Name string `json:"name"`
	Zone string `json:"zone,omitempty"` // empty while it is not known
}

func (h *Host) handleZone(context.Context, string, struct{}) (string, error) { return h.site.Zone, nil }

// survey learns in which zones the control hosts are, so that others can be sent to the nearest.
func (h *Host) survey() error {
	ctx := h.tomb.Context(context.Background())
	for h.tomb.Alive() {
		for _, member := range h.neighbours(time.Now()) {
			if member.Zone != "" || ctx.Err() != nil {
				continue
			}
			zone, err := callWithin[string](ctx, h, member.Name, "zone", struct{}{})
			if err != nil {
				continue // asked again in the next round
			}
			h.mu.Lock()
			h.zones[member.Name] = zone
			h.mu.Unlock()
		}
		pause.For(ctx, surveyGap)
	}
	return nil
}

// neighbours lists the replicas of the log with their zones.
func (h *Host) neighbours(now time.Time) []Member {
	names := h.members(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	members := make([]Member, 0, len(names))
	for _, name := range names {
		members = append(members, Member{Name: name, Zone: h.zones[name]})
	}
	return members
}

// ControlHostIn returns the public address of a control host in a zone, if this host is in another one.
func (h *Host) ControlHostIn(now time.Time, zone string) (netip.AddrPort, bool) {
	if zone == h.site.Zone {
		return netip.AddrPort{}, false
	}
	members := h.neighbours(now)
	i := slices.IndexFunc(members, func(m Member) bool { return m.Zone == zone })
	if i < 0 {
		return netip.AddrPort{}, false
	}
	peer, err := netip.ParseAddrPort(members[i].Name)
	if err != nil {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(peer.Addr(), h.site.Control.Port()), true
}

package keyed

import (
	"time"

	"lovagelink.example/lovagelink/internal/realm"
)

// cutPatience is for how long the owners in an availability zone that is cut off keep their keys. In that time their own
// zone's callers may still be served, and a takeover would make the keys of a whole zone cold, twice where they are
// brought back. The cuts of the deployments' days last 5 to 6 s.
const cutPatience = 8 * time.Second

// healTime is for how long a zone still counts as cut off once one of its owners takes grants again: the others are
// asked each half second, and a connection may take most of a second to open.
const healTime = 2 * time.Second

// isPatient reports whether an owner that takes no grants keeps its keys, since its zone is, or just was, cut off.
func (p *Planner) isPatient(now time.Time, u Upstream) bool {
	seen, ok := p.cut[u.Zone]
	return ok && now.Sub(seen) < healTime && u.Failing < cutPatience
}

// cutZones returns the availability zones of which no owner of keys takes grants, while those of other zones do.
func cutZones(ranges realm.Ranges, upstreams []Upstream) map[string]bool {
	owns := make(map[realm.Instance]bool)
	for _, one := range ranges {
		owns[one.Owner] = true
	}
	taking, failing := make(map[string]int), make(map[string]int)
	for _, u := range upstreams {
		switch {
		case !owns[u.Instance] || u.IsEnded || u.IsDraining:
		case u.Failing > 0:
			failing[u.Zone]++
		default:
			taking[u.Zone]++
		}
	}
	cut := make(map[string]bool)
	for zone, count := range failing {
		if count >= 2 && taking[zone] == 0 && len(taking) > 0 {
			cut[zone] = true
		}
	}
	return cut
}

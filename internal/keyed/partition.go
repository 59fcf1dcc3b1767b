package keyed

import (
	"time"

	"lovagelink.example/lovagelink/internal/realm"
)

// partitionTimeout is how long the owners in an availability zone that is cut off keep their keys. Callers in that zone
// may still be served meanwhile, while a takeover would make the new owners start cold with the keys of a whole zone,
// twice if the keys move back. Partitions in the recorded days of the deployments last 5 to 6 s.
const partitionTimeout = 8 * time.Second

// healWindow is how long a zone still counts as cut off after one of its owners acknowledges grants again: grants to
// the other owners are retried every half second, and opening a connection may take most of a second.
const healWindow = 2 * time.Second

// keepsKeys reports whether an owner that acknowledges no grants keeps its keys because its zone is, or just was, cut
// off.
func (p *Planner) keepsKeys(now time.Time, u Upstream) bool {
	lastSeen, ok := p.partitionedAt[u.Zone]
	return ok && now.Sub(lastSeen) < healWindow && u.Failing < partitionTimeout
}

// partitionedZones returns the availability zones with two or more owners of keys, all of which fail to acknowledge
// grants, while an owner in some other zone acknowledges them.
func partitionedZones(ranges realm.Ranges, upstreams []Upstream) map[string]bool {
	owns := make(map[realm.Instance]bool)
	for _, r := range ranges {
		owns[r.Owner] = true
	}
	acknowledging, failing := make(map[string]int), make(map[string]int)
	for _, u := range upstreams {
		switch {
		case !owns[u.Instance] || u.IsEnded || u.IsDraining:
		case u.Failing > 0:
			failing[u.Zone]++
		default:
			acknowledging[u.Zone]++
		}
	}
	partitioned := make(map[string]bool)
	for zone, count := range failing {
		if count >= 2 && acknowledging[zone] == 0 && len(acknowledging) > 0 {
			partitioned[zone] = true
		}
	}
	return partitioned
}

package quota

import "github.com/cespare/xxhash/v2"

// Host is a control host that can count the requests to an upstream.
type Host struct {
	Name string
	Zone string
}

// CountingHost returns the name of the control host that counts the requests to an upstream, empty if there is none. All
// hosts choose the same one, and in the upstream's availability zone if there is one: where that zone is cut off, those
// that can still reach the upstream reach the control host as well.
func CountingHost(upstream, zone string, hosts []Host) string {
	best, bestScore, bestNear := "", uint64(0), false
	for _, host := range hosts {
		score, isNear := xxhash.Sum64String(host.Name+"/"+upstream), host.Zone == zone && zone != ""
		if best == "" || isNear && !bestNear || isNear == bestNear && score > bestScore {
			best, bestScore, bestNear = host.Name, score, isNear
		}
	}
	return best
}

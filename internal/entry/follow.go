package entry

import (
	"slices"

	"lovagelink.example/lovagelink/internal/conf"
	"lovagelink.example/lovagelink/pkg/place"
)

// fanout is how many hosts of a zone follow one host, so that a change costs each host the same, however
// many hosts a zone has.
const fanout = 4

// sourcesOf lists whom a host follows, the preferred one first. The hosts of a zone are a tree with its
// replicas at the root, or one host that follows the replicas of other zones. Behind its parent a host
// prefers the hosts above that, then the replicas. The resorts are some others of its zone: a host that
// reaches no source may reach one that does.
func sourcesOf(name, zone string, peers []conf.Peer) (sources, resorts []string) {
	order, roots := treeOf(zone, peers)
	position := slices.Index(order, name)
	for position >= roots {
		position = (position - roots) / fanout
		sources = append(sources, order[position])
	}
	sources = appendNew(sources, replicasNear(zone, peers)...)
	others := slices.DeleteFunc(order, func(other string) bool { return other == name || slices.Contains(sources, other) })
	resorts = place.Rank(name, others)
	return sources, resorts[:min(len(resorts), fanout)]
}

// appendNew adds names that a list does not have.
func appendNew(list []string, names ...string) []string {
	for _, name := range names {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

// treeOf lists the hosts of a zone, the roots of its tree first.
func treeOf(zone string, peers []conf.Peer) (order []string, roots int) {
	var others []string
	for _, peer := range peers {
		switch {
		case peer.Zone != zone:
		case peer.Replica:
			order = append(order, peer.Name)
		default:
			others = append(others, peer.Name)
		}
	}
	roots = max(len(order), 1)
	return append(order, place.Rank(zone, others)...), roots
}

// replicasNear lists the replicas, those of a zone first; each zone prefers others among the rest.
func replicasNear(zone string, peers []conf.Peer) []string {
	var near, far []string
	for _, peer := range peers {
		switch {
		case !peer.Replica:
		case peer.Zone == zone:
			near = append(near, peer.Name)
		default:
			far = append(far, peer.Name)
		}
	}
	return append(near, place.Rank(zone, far)...)
}

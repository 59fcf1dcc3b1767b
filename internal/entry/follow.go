package entry

import (
	"slices"

	"lovagelink.example/lovagelink/internal/conf"
	"lovagelink.example/lovagelink/pkg/place"
)

// fanout is the number of hosts of a zone that follow the same host. It bounds what a change costs each host,
// regardless of the number of hosts in the zone.
const fanout = 4

// sourcesOf returns the hosts that a host follows, in order of preference. The hosts of a zone form a tree. Its
// roots are the zone's replicas or, in a zone without replicas, one host that follows the replicas of other zones.
// A host prefers its parent, then the other ancestors from the nearest to the root, then the replicas. The
// fallbacks are a few other hosts of the zone: a host that reaches none of its sources may reach another host that
// does.
func sourcesOf(name, zone string, peers []conf.Peer) (sources, fallbacks []string) {
	order, roots := treeOf(zone, peers)
	position := slices.Index(order, name)
	for position >= roots {
		position = (position - roots) / fanout
		sources = append(sources, order[position])
	}
	sources = appendNew(sources, replicasNear(zone, peers)...)
	others := slices.DeleteFunc(order, func(other string) bool { return other == name || slices.Contains(sources, other) })
	fallbacks = place.Rank(name, others)
	return sources, fallbacks[:min(len(fallbacks), fanout)]
}

// appendNew appends the names that a list does not contain yet.
func appendNew(list []string, names ...string) []string {
	for _, name := range names {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

// treeOf returns the hosts of a zone in the order of its tree, and the number of roots, which come first.
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

// replicasNear returns all replicas, those of the given zone first. The order of the remote replicas differs from
// zone to zone, so that the zones spread their load over them.
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

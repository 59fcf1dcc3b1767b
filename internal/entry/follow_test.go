package entry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/conf"
)

// peersOf lays out hosts in turn over zones, the first ones with replicas.
func peersOf(zones, hosts, replicas int) []conf.Peer {
	var peers []conf.Peer
	for i := range hosts {
		zone := fmt.Sprint("zone-", i%zones)
		peers = append(peers, conf.Peer{Name: fmt.Sprint("host-", i), Zone: zone, Replica: i < replicas})
	}
	return peers
}

// Every host reaches a replica by way of its preferred sources, in few steps, and no host has many
// followers, at today's size and at the target's.
func TestTreeOfSources(t *testing.T) {
	for _, one := range []struct{ zones, hosts, replicas, depth, followers int }{
		{3, 10, 3, 1, 4 + 3},
		{1, 14, 3, 2, 4 + 3},
		{5, 15, 3, 2, 4 + 3 + 2},
		{19, 1100, 5, 5, 4 + 5 + 8},
	} {
		t.Run(fmt.Sprint(one.hosts, "-hosts"), func(t *testing.T) {
			is := is.New(t)
			peers := peersOf(one.zones, one.hosts, one.replicas)
			parents, isReplica := make(map[string]string), make(map[string]bool)
			followers := make(map[string]int)
			for _, peer := range peers {
				sources, resorts := sourcesOf(peer.Name, peer.Zone, peers)
				isReplica[peer.Name] = peer.Replica
				parents[peer.Name] = sources[0]
				followers[sources[0]]++
				is.True(len(sources) >= one.replicas) // every replica is a source
				is.True(len(resorts) <= fanout)
			}
			for _, peer := range peers {
				depth := 0
				for name := peer.Name; !isReplica[name]; name = parents[name] {
					depth++
				}
				is.True(depth <= one.depth)
				is.True(followers[peer.Name] <= one.followers)
			}
		})
	}
}

package entry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/conf"
)

// peersOf assigns hosts to zones in turn; the first hosts have replicas.
func peersOf(zones, hosts, replicas int) []conf.Peer {
	var peers []conf.Peer
	for i := range hosts {
		zone := fmt.Sprint("zone-", i%zones)
		peers = append(peers, conf.Peer{Name: fmt.Sprint("host-", i), Zone: zone, Replica: i < replicas})
	}
	return peers
}

// Every host reaches a replica through its preferred sources in few steps, and no host has many followers, from 10
// hosts up to the target size of 1100.
func TestTreeOfSources(t *testing.T) {
	for _, test := range []struct{ zones, hosts, replicas, depth, followers int }{
		{3, 10, 3, 1, 4 + 3},
		{1, 14, 3, 2, 4 + 3},
		{5, 15, 3, 2, 4 + 3 + 2},
		{19, 1100, 5, 5, 4 + 5 + 8},
	} {
		t.Run(fmt.Sprint(test.hosts, "-hosts"), func(t *testing.T) {
			is := is.New(t)
			peers := peersOf(test.zones, test.hosts, test.replicas)
			parents, isReplica := make(map[string]string), make(map[string]bool)
			followers := make(map[string]int)
			for _, peer := range peers {
				sources, fallbacks := sourcesOf(peer.Name, peer.Zone, peers)
				isReplica[peer.Name] = peer.Replica
				parents[peer.Name] = sources[0]
				followers[sources[0]]++
				is.True(len(sources) >= test.replicas) // every replica is a source
				is.True(len(fallbacks) <= fanout)
			}
			for _, peer := range peers {
				depth := 0
				for name := peer.Name; !isReplica[name]; name = parents[name] {
					depth++
				}
				is.True(depth <= test.depth)
				is.True(followers[peer.Name] <= test.followers)
			}
		})
	}
}

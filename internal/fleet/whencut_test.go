package fleet

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/memnet"
)

// Compares when-cut move and stay for a service with keys, with one zone and with all zones cut off. Neither may
// violate a guarantee; the log shows the worth that each has served.
func TestWhenCut(t *testing.T) {
	partitions := map[string]func(from, to memnet.Place) bool{"one-zone": isolated("b"), "all-zones": allIsolated}
	for name, partition := range partitions {
		for _, choice := range []string{"move", "stay"} {
			t.Run(fmt.Sprint(name, "/", choice), func(t *testing.T) {
				t.Parallel()
				inBubble(t, func(t *testing.T) {
					s := gautengSetup()
					s.config = strings.Replace(s.config, "when-cut: move", "when-cut: "+choice, 1)
					sc := newScenario(t, s)
					sc.startLoad(load.Gauteng(), steadyRate, 14*time.Second)
					time.Sleep(2 * time.Second)
					sc.net.Partition(partition)
					time.Sleep(10 * time.Second)
					sc.net.Heal()
					served, requested := sc.verify().Worth()
					t.Logf("%s/%s: worth served on target %.3f", name, choice, served/requested)
				})
			})
		}
	}
}

// A zone that is cut off loses one of its two upstreams of the service without keys: the other upstream must serve
// all first attempts of the zone's callers.
func TestUpstreamLostInCutZone(t *testing.T) {
	lost := map[string]string{"a": "commission-01", "b": "commission-02"}
	for zone, upstream := range lost {
		t.Run("zone-"+zone, func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				sc := newScenario(t, gautengSetup())
				sc.net.Partition(isolated(zone))
				time.Sleep(3 * time.Second)
				sc.Upstream(upstream).Kill()
				workload := load.Gauteng()
				workload.Calls = workload.Calls[:1]
				sc.startLoadAt(sc.entriesInZone(zone), workload, 40, 5*time.Second)
				result := sc.verify()
				if tally := result.Tallies[0]; tally.Served != tally.Sent {
					t.Errorf("%d of %d served", tally.Served, tally.Sent)
				}
			})
		})
	}
}

// entriesInZone returns the addresses at which the hosts of a zone serve callers.
func (sc *scenario) entriesInZone(zone string) []netip.AddrPort {
	var entries []netip.AddrPort
	for i, settings := range sc.Settings {
		if sc.zoneOf(i) == zone {
			entries = append(entries, settings.Callers)
		}
	}
	return entries
}

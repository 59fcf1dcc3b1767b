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

// What a service with keys serves with when-cut move and stay, with one zone and with all zones cut.
// Both keep every promise; the log shows the worth that each has served.
func TestWhenCut(t *testing.T) {
	cuts := map[string]func(from, to memnet.Place) bool{"one-zone": isolated("b"), "all-zones": apart}
	for name, cut := range cuts {
		for _, choice := range []string{"move", "stay"} {
			t.Run(fmt.Sprint(name, "/", choice), func(t *testing.T) {
				t.Parallel()
				in(t, func(t *testing.T) {
					s := gautengSetup()
					s.config = strings.Replace(s.config, "when-cut: move", "when-cut: "+choice, 1)
					sc := open(t, s)
					sc.load(load.Gauteng(), steadyRate, 14*time.Second)
					time.Sleep(2 * time.Second)
					sc.net.Partition(cut)
					time.Sleep(10 * time.Second)
					sc.net.Heal()
					served, asked := sc.judge().Worth()
					t.Logf("%s/%s: worth served on target %.3f", name, choice, served/asked)
				})
			})
		}
	}
}

// A zone that is cut off loses one of its two upstreams without keys: the other one serves all that the
// zone's callers send for the first time.
func TestUpstreamLostInCutZone(t *testing.T) {
	lost := map[string]string{"a": "commission-01", "b": "commission-02"}
	for zone, upstream := range lost {
		t.Run("zone-"+zone, func(t *testing.T) {
			t.Parallel()
			in(t, func(t *testing.T) {
				sc := open(t, gautengSetup())
				sc.net.Partition(isolated(zone))
				time.Sleep(3 * time.Second)
				sc.Upstream(upstream).Kill()
				shape := load.Gauteng()
				shape.Calls = shape.Calls[:1]
				sc.loadAt(sc.entriesOf(zone), shape, 40, 5*time.Second)
				result := sc.judge()
				if tally := result.Tallies[0]; tally.Served != tally.Sent {
					t.Errorf("%d of %d served", tally.Served, tally.Sent)
				}
			})
		})
	}
}

// entriesOf lists the callers' addresses in a zone.
func (sc *scene) entriesOf(zone string) []netip.AddrPort {
	var entries []netip.AddrPort
	for i, settings := range sc.Settings {
		if sc.zoneOf(i) == zone {
			entries = append(entries, settings.Callers)
		}
	}
	return entries
}

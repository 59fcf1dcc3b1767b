package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/route"
)

// leaderOf returns the number of the host that leads, or -1.
func leaderOf(hosts []*Host) int {
	return slices.IndexFunc(hosts, func(h *Host) bool {
		_, leads := h.leads(time.Now())
		return leads
	})
}

// Guards against a log that stands still for good when a control host loses its disk a second after another one was
// replaced as planned: the one that had left kept its vote.
func TestHostThatStopsGivesUpItsVote(t *testing.T) {
	for i, leads := range []bool{false, true} {
		t.Run(fmt.Sprint("the leader: ", leads), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			last, client := byte(120+10*i), newFakeUpstreams()
			var hosts []*Host
			var stops []func()
			for i, zone := range []string{"a", "b", "c", "a"} {
				h, stop := startMember(t, last, i, zone, t.TempDir(), client)
				hosts, stops = append(hosts, h), append(stops, stop)
			}
			defer func() {
				for _, stop := range stops {
					stop()
				}
			}()
			acceptAt(t, hosts, route.Config{Version: 1})
			leader := -1
			waitFor(t, "four members", func() bool {
				leader = leaderOf(hosts)
				return leader >= 0 && len(hosts[leader].memberNames(time.Now())) == 4
			})
			leaving := leader
			if !leads {
				leaving = (leader + 1) % len(hosts)
			}
			stops[leaving]()
			stops[leaving] = func() {}
			time.Sleep(time.Second)
			acceptAt(t, hosts, route.Config{Version: 2})
			wiped := (leaving + 1) % 3 // a seed, since other hosts learn of this one only by its requests
			zone := hosts[wiped].site.Zone
			stops[wiped]()
			time.Sleep(3 * time.Second) // a leader without a majority has stepped down by then
			hosts[wiped], stops[wiped] = startMember(t, last, wiped, zone, t.TempDir(), client)
			acceptAt(t, hosts, route.Config{Version: 3})
			for i, h := range hosts {
				if i != leaving {
					waitFor(t, "the configuration at each host", func() bool {
						read, err := h.CurrentConfig(t.Context(), time.Now())
						return err == nil && string(read) == "3"
					})
				}
			}
			is.True(leaderOf(hosts) != leaving)
		})
	}
}

package fleet

import (
	"testing"
	"time"

	"lovagelink.example/lovagelink/examples"
)

// controlBudget is the maximum rate of control traffic that a host sends, in bytes per second.
const controlBudget = 3 << 10

// Guards against control traffic beyond the budget in larger fleets: measures what a host without a replica sends
// to hosts and upstreams while there are no requests.
func TestControlBytes(t *testing.T) {
	for _, hosts := range []int{5, 10, 20} {
		inBubble(t, func(t *testing.T) {
			sc := newScenario(t, setup{config: examples.Gauteng, hosts: hosts, verifiesGrants: true, groups: []Group{
				{Service: "plan", Count: 2 * hosts, Concurrency: 2, Keyed: true, ServiceTime: 20 * time.Millisecond},
				{Service: "commission", Count: 3, Concurrency: 2, ServiceTime: 20 * time.Millisecond},
			}})
			time.Sleep(10 * time.Second)
			name := sc.Settings[hosts-1].Name
			before := sc.net.BytesSent(name)
			const period = 20
			time.Sleep(period * time.Second)
			rate := (sc.net.BytesSent(name) - before) / period
			t.Logf("%d hosts: %s sends %d bytes/s", hosts, name, rate)
			if rate > controlBudget {
				t.Errorf("%d hosts: %d bytes/s of control traffic", hosts, rate)
			}
		})
	}
}

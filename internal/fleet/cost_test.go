package fleet

import (
	"testing"
	"time"

	"lovagelink.example/lovagelink/examples"
)

// controlBudget is what a host may send for control, in bytes a second.
const controlBudget = 3 << 10

// What a host without a replica sends for control while nothing happens, at several sizes. The links
// between all hosts are counted apart from what goes to the leader and the upstreams.
func TestControlBytes(t *testing.T) {
	for _, hosts := range []int{5, 10, 20} {
		in(t, func(t *testing.T) {
			sc := open(t, setup{config: examples.Gauteng, hosts: hosts, checks: true, groups: []Group{
				{Service: "plan", Count: 2 * hosts, Concurrency: 2, Keyed: true, ServiceTime: 20 * time.Millisecond},
				{Service: "commission", Count: 3, Concurrency: 2, ServiceTime: 20 * time.Millisecond},
			}})
			time.Sleep(10 * time.Second)
			owner := sc.Settings[hosts-1].Name
			before := sc.net.BytesSent(owner)
			const period = 20
			time.Sleep(period * time.Second)
			rate := (sc.net.BytesSent(owner) - before) / period
			t.Logf("%d hosts: %s sends %d bytes/s", hosts, owner, rate)
			if rate > controlBudget {
				t.Errorf("%d hosts: %d bytes/s for control", hosts, rate)
			}
		})
	}
}

package ctrl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// startControllers starts three controllers, connected over loopback TCP, whose replicas write to real disks.
func startControllers(b *testing.B) []*Controller {
	b.Helper()
	addresses := make(map[string]netip.AddrPort)
	names := []string{"a", "b", "c"}
	for i, name := range names {
		addresses[name] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(16100+i))
	}
	var controllers []*Controller
	for _, name := range names {
		endpoint := peer.New(peer.TCP{}, name, addresses)
		config := paxos.Config{Name: name, Folder: b.TempDir(), InitialMembers: names, Timing: paxos.DefaultTiming()}
		controller, err := NewController(time.Now(), config, endpoint, state.NewStore())
		if err != nil {
			b.Fatal(err)
		}
		if err := endpoint.Start(); err != nil {
			b.Fatal(err)
		}
		controller.Start()
		b.Cleanup(func() { controller.Stop(); endpoint.Stop() })
		controllers = append(controllers, controller)
	}
	return controllers
}

func awaitLeader(b *testing.B, controllers []*Controller) *Controller {
	b.Helper()
	for range 500 {
		for _, controller := range controllers {
			if controller.Status(time.Now()).Leading {
				return controller
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatal("no leader")
	return nil
}

func BenchmarkCommit(b *testing.B) {
	controllers := startControllers(b)
	for _, tasks := range []int{1, 32} {
		b.Run(fmt.Sprintf("tasks-%d", tasks), func(b *testing.B) {
			leader := awaitLeader(b, controllers)
			data, _ := json.Marshal(state.Command{Drain: &state.Drain{Upstream: "none"}})
			b.SetParallelism(tasks)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					_, _, err := leader.replica.Propose(ctx, data)
					cancel()
					if err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

// BenchmarkBeat measures the leader's work for one heartbeat at several numbers of hosts.
func BenchmarkBeat(b *testing.B) {
	for _, hosts := range []int{10, 100, 1100} {
		b.Run(fmt.Sprintf("hosts-%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			now := time.Now()
			c := &Controller{store: state.NewStore()}
			c.reset(now)
			heartbeat := Heartbeat{Zone: "a", Incarnation: strings.Repeat("i", 24), ReachableUpstreams: []string{"plan-1", "plan-2", "plan-3"}}
			loads := SlotLoads{Service: "plan"}
			for i := range 60 {
				loads.Add(i, 40)
			}
			heartbeat.Loads = []SlotLoads{loads}
			data, _ := json.Marshal(heartbeat)
			for i := 0; b.Loop(); i++ {
				var decoded Heartbeat
				if err := json.Unmarshal(data, &decoded); err != nil {
					b.Fatal(err)
				}
				name := fmt.Sprint("host-", i%hosts)
				c.recordHeartbeat(now, name, decoded)
				c.leases.grant(now, name, decoded.Incarnation)
			}
			b.ReportMetric(float64(len(data)), "bytes/beat-with-loads")
			heartbeat.Loads = nil
			data, _ = json.Marshal(heartbeat)
			b.ReportMetric(float64(len(data)), "bytes/beat")
		})
	}
}

// BenchmarkPlan measures one planning pass of the leader over the whole state.
func BenchmarkPlan(b *testing.B) {
	for _, slots := range []int{1024, 8192, 65536} {
		b.Run(fmt.Sprintf("slots-%d", slots), func(b *testing.B) {
			b.ReportAllocs()
			now := time.Now()
			s := stateWithSlots(slots)
			c := &Controller{store: state.NewStore()}
			c.reset(now)
			for name, host := range s.Hosts {
				c.hosts[name] = hostReport{zone: host.Zone, incarnation: host.Incarnation}
				c.leases.grant(now, name, host.Incarnation)
			}
			for id := range s.Upstreams {
				c.reachedAt[id] = now
			}
			for b.Loop() {
				c.planHosts(now, s)
				c.planDispatchers(now, s)
				c.planUnowned(now, s)
				c.planMoves(now, s)
			}
		})
	}
}

// stateWithSlots returns a state with the given number of slots, and upstreams and hosts in proportion.
func stateWithSlots(slots int) *state.State {
	s := state.New()
	upstreams := slots / 16
	for i := range upstreams / 3 {
		name := fmt.Sprint("host-", i)
		s.Hosts[name] = &state.Host{Name: name, Zone: "a", Incarnation: "x", Up: true}
	}
	for i := range upstreams {
		id := fmt.Sprint("plan-", i)
		s.Upstreams[id] = &state.Upstream{
			Announced:  state.Announced{ID: id, Service: "plan", Zone: "a"},
			Dispatcher: fmt.Sprint("host-", i%(upstreams/3)), DispatcherIncarnation: "x",
		}
	}
	table := &state.Table{Slots: make([]state.Slot, slots)}
	for i := range table.Slots {
		table.Slots[i].Owner = fmt.Sprint("plan-", i%upstreams)
	}
	s.Tables["plan"] = table
	return s
}

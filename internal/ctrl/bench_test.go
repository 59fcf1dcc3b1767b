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

// newReplicas starts three replicas over loopback TCP on real disks.
func newReplicas(b *testing.B) []*Controller {
	b.Helper()
	addresses := make(map[string]netip.AddrPort)
	names := []string{"a", "b", "c"}
	for i, name := range names {
		addresses[name] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(16100+i))
	}
	var leaders []*Controller
	for _, name := range names {
		hub := peer.New(peer.TCP{}, name, addresses)
		setup := paxos.Config{Name: name, Folder: b.TempDir(), InitialMembers: names, Timing: paxos.DefaultTiming()}
		leader, err := NewController(time.Now(), setup, hub, state.NewStore())
		if err != nil {
			b.Fatal(err)
		}
		if err := hub.Start(); err != nil {
			b.Fatal(err)
		}
		leader.Start()
		b.Cleanup(func() { leader.Stop(); hub.Stop() })
		leaders = append(leaders, leader)
	}
	return leaders
}

func leadingOf(b *testing.B, leaders []*Controller) *Controller {
	b.Helper()
	for range 500 {
		for _, l := range leaders {
			if l.Status(time.Now()).Leading {
				return l
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatal("no leader")
	return nil
}

func BenchmarkCommit(b *testing.B) {
	leaders := newReplicas(b)
	for _, tasks := range []int{1, 32} {
		b.Run(fmt.Sprintf("tasks-%d", tasks), func(b *testing.B) {
			leader := leadingOf(b, leaders)
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

// BenchmarkBeat is the leader's work for one heartbeat, at several numbers of hosts.
func BenchmarkBeat(b *testing.B) {
	for _, hosts := range []int{10, 100, 1100} {
		b.Run(fmt.Sprintf("hosts-%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			now := time.Now()
			l := &Controller{feed: state.NewStore()}
			l.reset(now)
			beat := Heartbeat{Zone: "a", Incarnation: strings.Repeat("i", 24), ReachableUpstreams: []string{"plan-1", "plan-2", "plan-3"}}
			loads := SlotLoads{Service: "plan"}
			for i := range 60 {
				loads.Add(i, 40)
			}
			beat.Loads = []SlotLoads{loads}
			data, _ := json.Marshal(beat)
			for i := 0; b.Loop(); i++ {
				var one Heartbeat
				if err := json.Unmarshal(data, &one); err != nil {
					b.Fatal(err)
				}
				name := fmt.Sprint("host-", i%hosts)
				l.note(now, name, one)
				l.leases.welcome(now, name, one.Incarnation)
			}
			b.ReportMetric(float64(len(data)), "bytes/beat-with-loads")
			beat.Loads = nil
			data, _ = json.Marshal(beat)
			b.ReportMetric(float64(len(data)), "bytes/beat")
		})
	}
}

// BenchmarkPlan is one look of the leader at the whole state.
func BenchmarkPlan(b *testing.B) {
	for _, slots := range []int{1024, 8192, 65536} {
		b.Run(fmt.Sprintf("slots-%d", slots), func(b *testing.B) {
			b.ReportAllocs()
			now := time.Now()
			s := bigState(slots)
			l := &Controller{feed: state.NewStore()}
			l.reset(now)
			for name, host := range s.Hosts {
				l.hosts[name] = hostReport{zone: host.Zone, incarnation: host.Incarnation}
				l.leases.welcome(now, name, host.Incarnation)
			}
			for id := range s.Upstreams {
				l.reached[id] = now
			}
			for b.Loop() {
				l.planHosts(now, s)
				l.planDispatch(now, s)
				l.planFill(now, s)
				l.planMoves(now, s)
			}
		})
	}
}

// bigState is a state with upstreams and hosts in proportion to its slots.
func bigState(slots int) *state.State {
	s := state.New()
	count := slots / 16
	for i := range count / 3 {
		name := fmt.Sprint("host-", i)
		s.Hosts[name] = &state.Host{Name: name, Zone: "a", Incarnation: "x", Up: true}
	}
	for i := range count {
		id := fmt.Sprint("plan-", i)
		s.Upstreams[id] = &state.Upstream{
			Announced:  state.Announced{ID: id, Service: "plan", Zone: "a"},
			Dispatcher: fmt.Sprint("host-", i%(count/3)), DispatcherIncarnation: "x",
		}
	}
	table := &state.Table{Slots: make([]state.Slot, slots)}
	for i := range table.Slots {
		table.Slots[i].Owner = fmt.Sprint("plan-", i%count)
	}
	s.Tables["plan"] = table
	return s
}

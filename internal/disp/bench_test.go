package disp

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/verd"
)

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkBook measures the memory and time of storing a non-idempotent request in the deduplication table, with a
// response of 2 KB while responses fit into their limit, and the time of exporting the records of one slot for a new
// dispatcher.
func BenchmarkBook(b *testing.B) {
	const slots = 65_536
	for _, records := range []int{20_000, 600_000} {
		b.Run(fmt.Sprint("records-", records), func(b *testing.B) {
			b.ReportAllocs()
			now := time.Now()
			heapBefore := heapBytes()
			table := NewDedupTable()
			for i := range records {
				entry, _ := table.begin(now, numberedRequest("request-", i%slots, i))
				table.finish(entry, Outcome{Verdict: verd.Ran, Status: 200, Body: make([]byte, 2048)})
			}
			size := float64(heapBytes() - heapBefore)
			for i := 0; b.Loop(); i++ {
				entry, _ := table.begin(now, numberedRequest("more-", i%slots, i))
				table.finish(entry, notRun("x"))
				table.Export("plan", []int{i % slots})
			}
			b.ReportMetric(size/float64(records), "heap-bytes/record")
			b.ReportMetric(size/(1<<20), "heap-MB")
			runtime.KeepAlive(table)
		})
	}
}

// numberedRequest returns a request that shares no strings with others, as one decoded from the wire.
func numberedRequest(name string, slot, number int) Request {
	return Request{
		Service: strings.Clone("plan"), Slot: slot,
		ID: fmt.Sprint(name, number, "-of-a-caller"), Token: fmt.Sprintf("token-%018d", number),
	}
}

// BenchmarkSync measures a host's work for one change of the replicated state, for several numbers of slots.
func BenchmarkSync(b *testing.B) {
	for _, slots := range []int{1024, 8192, 65536} {
		b.Run(fmt.Sprintf("slots-%d", slots), func(b *testing.B) {
			b.ReportAllocs()
			heapBefore := heapBytes()
			store := storeWithSlots(slots)
			size := heapBytes() - heapBefore
			s := NewSet(store, "x", Deps{Host: "host-1"})
			for b.Loop() {
				s.currentRoles()
			}
			b.ReportMetric(float64(size)/float64(slots), "heap-bytes/slot")
			runtime.KeepAlive(store)
		})
	}
}

func storeWithSlots(slots int) *state.Store {
	const config = `ranks: [{name: all, target: 1s, worth: 1}]
services:
  - {name: plan, route: /plan/, key: {segment: 2}, slots: %d, rules: [{methods: [GET], rank: all, idempotent: true, deadline: 1s}]}
`
	store := state.NewStore()
	index := uint64(0)
	apply := func(c state.Command) {
		index++
		data, _ := json.Marshal(c)
		store.Apply(index, data)
	}
	apply(state.Command{AcceptConfig: &state.AcceptConfig{RequestID: "r", ConfigText: fmt.Sprintf(config, slots)}})
	count := slots / 16
	var owners []state.SlotAssignment
	var dispatchers []state.DispatcherAssignment
	for i := range count {
		id := fmt.Sprint("plan-", i)
		apply(state.Command{Join: &state.Join{Upstream: state.Announced{ID: id, Service: "plan"}}})
		dispatchers = append(dispatchers,
			state.DispatcherAssignment{Upstream: id, Host: fmt.Sprint("host-", i%(count/3)), Incarnation: "x"})
	}
	apply(state.Command{DispatcherAssignments: dispatchers})
	for i := range slots {
		owners = append(owners, state.SlotAssignment{Service: "plan", Slot: i, Owner: fmt.Sprint("plan-", i%count)})
	}
	apply(state.Command{SlotAssignments: owners})
	return store
}

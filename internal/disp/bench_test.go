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

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkBook is the memory and time of remembering one exclusive request with an answer of 2 KB, of which
// the book keeps as many as its bound allows, and the time of telling a new dispatcher of one slot.
func BenchmarkBook(b *testing.B) {
	const slots = 65_536
	for _, records := range []int{20_000, 600_000} {
		b.Run(fmt.Sprint("records-", records), func(b *testing.B) {
			b.ReportAllocs()
			now := time.Now()
			before := heap()
			book := NewDedupTable()
			for i := range records {
				one, _ := book.begin(now, numbered("request-", i%slots, i))
				book.finish(one, Outcome{Verdict: verd.Ran, Status: 200, Body: make([]byte, 2048)})
			}
			size := float64(heap() - before)
			for i := 0; b.Loop(); i++ {
				one, _ := book.begin(now, numbered("more-", i%slots, i))
				book.finish(one, notRun("x"))
				book.Export("plan", []int{i % slots})
			}
			b.ReportMetric(size/float64(records), "heap-bytes/record")
			b.ReportMetric(size/(1<<20), "heap-MB")
			runtime.KeepAlive(book)
		})
	}
}

// numbered is a request as it comes off the wire, with strings of its own.
func numbered(name string, slot, number int) Request {
	return Request{
		Service: strings.Clone("plan"), Slot: slot,
		ID: fmt.Sprint(name, number, "-of-a-caller"), Token: fmt.Sprintf("token-%018d", number),
	}
}

// BenchmarkSync is a host's work for one change of the state, at several numbers of slots.
func BenchmarkSync(b *testing.B) {
	for _, slots := range []int{1024, 8192, 65536} {
		b.Run(fmt.Sprintf("slots-%d", slots), func(b *testing.B) {
			b.ReportAllocs()
			before := heap()
			feed := feedOf(slots)
			size := heap() - before
			s := NewSet(feed, "x", Deps{Host: "host-1"})
			for b.Loop() {
				s.present()
			}
			b.ReportMetric(float64(size)/float64(slots), "heap-bytes/slot")
			runtime.KeepAlive(feed)
		})
	}
}

func feedOf(slots int) *state.Store {
	const config = `ranks: [{name: all, target: 1s, worth: 1}]
services:
  - {name: plan, route: /plan/, key: {segment: 2}, slots: %d, rules: [{methods: [GET], rank: all, idempotent: true, deadline: 1s}]}
`
	feed := state.NewStore()
	index := uint64(0)
	apply := func(c state.Command) {
		index++
		data, _ := json.Marshal(c)
		feed.Apply(index, data)
	}
	apply(state.Command{AcceptConfig: &state.AcceptConfig{RequestID: "r", ConfigText: fmt.Sprintf(config, slots)}})
	count := slots / 16
	var assigns []state.SlotAssignment
	var dispatches []state.DispatcherAssignment
	for i := range count {
		id := fmt.Sprint("plan-", i)
		apply(state.Command{Join: &state.Join{Upstream: state.Announced{ID: id, Service: "plan"}}})
		dispatches = append(dispatches, state.DispatcherAssignment{Upstream: id, Host: fmt.Sprint("host-", i%(count/3)), Incarnation: "x"})
	}
	apply(state.Command{DispatcherAssignments: dispatches})
	for i := range slots {
		assigns = append(assigns, state.SlotAssignment{Service: "plan", Slot: i, Owner: fmt.Sprint("plan-", i%count)})
	}
	apply(state.Command{SlotAssignments: assigns})
	return feed
}

package state

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

const benchConfig = `ranks:
  - {name: all, target: 1s, worth: 1}
services:
  - name: plan
    route: /plan/
    key: {segment: 2}
    slots: %d
    rules:
      - {methods: [GET], rank: all, idempotent: true, deadline: 1s}
`

// storeWithSlots returns a store with a service of the given number of slots, and upstreams and hosts in proportion.
func storeWithSlots(slots int) *Store {
	store := NewStore()
	index := uint64(0)
	apply := func(c Command) {
		index++
		data, _ := json.Marshal(c)
		store.Apply(index, data)
	}
	apply(Command{AcceptConfig: &AcceptConfig{RequestID: "r", ConfigText: fmt.Sprintf(benchConfig, slots)}})
	upstreams := max(slots/16, 1)
	for i := range upstreams / 3 {
		apply(Command{HostStatus: &HostStatus{Name: fmt.Sprint("host-", i), Zone: "a", Incarnation: strings.Repeat("i", 24), Up: true}})
	}
	for i := range upstreams {
		apply(Command{Join: &Join{Upstream: Announced{ID: fmt.Sprint("plan-", i), Service: "plan", Zone: "a", Concurrency: 2}}})
	}
	var assignments []SlotAssignment
	for i := range slots {
		assignments = append(assignments, SlotAssignment{Service: "plan", Slot: i, Owner: fmt.Sprint("plan-", i%upstreams)})
	}
	apply(Command{SlotAssignments: assignments})
	return store
}

func BenchmarkState(b *testing.B) {
	for _, slots := range []int{1024, 8192, 65536} {
		store := storeWithSlots(slots)
		b.Run(fmt.Sprintf("snapshot/%d", slots), func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				data, err := store.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/snapshot")
			b.ReportMetric(float64(size)/float64(slots), "bytes/slot")
		})
		b.Run(fmt.Sprintf("move/%d", slots), func(b *testing.B) {
			b.ReportAllocs()
			index := store.Index()
			size := 0
			for b.Loop() {
				index++
				slot := int(index) % slots
				var epoch uint64
				store.Read(func(s *State) { epoch = s.Tables["plan"].Slots[slot].Epoch })
				data, _ := json.Marshal(Command{SlotAssignments: []SlotAssignment{{Service: "plan", Slot: slot, ExpectedEpoch: epoch, Owner: "plan-0"}}})
				size = len(data)
				store.Apply(index, data)
			}
			b.ReportMetric(float64(size), "bytes/change")
		})
	}
}

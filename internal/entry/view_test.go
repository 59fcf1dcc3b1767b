package entry

import (
	"encoding/json"
	"fmt"
	"testing"

	"lovagelink.example/lovagelink/internal/state"
)

// BenchmarkView measures the cost of one state change for the timeline of a host, at several numbers of upstreams.
func BenchmarkView(b *testing.B) {
	for _, upstreams := range []int{30, 330, 3300} {
		b.Run(fmt.Sprintf("upstreams-%d", upstreams), func(b *testing.B) {
			b.ReportAllocs()
			store := state.NewStore()
			for i := range upstreams {
				join := state.Command{Join: &state.Join{Upstream: state.Announced{ID: fmt.Sprint("plan-", i), Service: "plan"}}}
				data, err := json.Marshal(join)
				if err != nil {
					b.Fatal(err)
				}
				store.Apply(uint64(i+1), data)
			}
			previous := viewOf(store)
			for b.Loop() {
				next := viewOf(store)
				if len(next.changesSince(previous)) > 0 {
					b.Fatal("changes between two views of the same state")
				}
				previous = next
			}
		})
	}
}

package core

import (
	"encoding/json"
	"fmt"
	"testing"

	"lovagelink.example/lovagelink/internal/realm"
)

// BenchmarkDecodeUpdate decodes an update of the size that a busy tenth of a second brings.
func BenchmarkDecodeUpdate(b *testing.B) {
	for _, ranges := range []int{3, 6, 12, 60} {
		b.Run(fmt.Sprint(ranges), func(b *testing.B) {
			s := largeState(b)
			update := realm.Update{Index: 5000, Ranges: map[string]realm.Ranges{}}
			update.Ranges["keyed"] = s.Ownership["keyed"].Ranges[:ranges]
			encoded, err := encodeUpdate(update)
			if err != nil {
				b.Fatal(err)
			}
			data, err := json.Marshal(FollowReply{LeaderReachable: true, Encoded: &encoded})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "bytes")
			for b.Loop() {
				var reply FollowReply
				if err := json.Unmarshal(data, &reply); err != nil {
					b.Fatal(err)
				}
				if _, err := reply.Decode(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

package fleet

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/examples"
	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/state"
)

// withoutPlan returns the example configuration without its service that is divided by key.
func withoutPlan(t *testing.T) string {
	t.Helper()
	head, rest, ok := strings.Cut(examples.Gauteng, "  - name: plan\n")
	_, tail, found := strings.Cut(rest, "  - name: commission\n")
	if !ok || !found {
		t.Fatal("the example has changed")
	}
	return head + "  - name: commission\n" + tail
}

// Guards against slots that are granted to two upstreams after a service has left the configuration and returned while its
// earlier grants are in force. watchGrants checks that no slot is.
func TestServiceThatReturns(t *testing.T) {
	for _, away := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second} {
		t.Run(fmt.Sprint(away), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				sc := newScenario(t, gautengSetup())
				accept := func(expected uint64, text string) {
					accepted, err := sc.Hosts[0].Accept(context.Background(), state.AcceptConfig{RequestID: fmt.Sprint(expected), ExpectedVersion: expected, ConfigText: text})
					is.NoErr(err)
					is.Equal(accepted.Refused, "")
				}
				granted := func() (count int) {
					for i := range sc.Upstreams {
						if strings.HasPrefix(sc.IDs[i], "plan") {
							count += len(sc.Upstreams[i].GrantedSlots(time.Now()))
						}
					}
					return count
				}
				awaitGranted := func() {
					for start := time.Now(); granted() < 256; time.Sleep(10 * time.Millisecond) {
						if time.Since(start) > 10*time.Second {
							t.Fatalf("%d of 256 slots are granted after 10 s", granted())
						}
					}
				}
				awaitGranted()
				workload := load.Gauteng()
				workload.Keys = 40 // which shifts the load, so that slots without owners would be divided in another way
				sc.startLoad(workload, 200, 6*time.Second)
				<-sc.done
				// Its last grant can only run out.
				sc.Upstream("plan-03").SetFrozen(true)
				accept(1, withoutPlan(t))
				time.Sleep(away)
				accept(2, examples.Gauteng)
				time.Sleep(4 * time.Second)
				sc.Upstream("plan-03").SetFrozen(false)
				awaitGranted()
			})
		})
	}
}

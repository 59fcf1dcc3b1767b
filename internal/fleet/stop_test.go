package fleet

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/examples"
	"lovagelink.example/lovagelink/internal/upsim"
)

// Guards against requests that are cut without an answer at the end of a planned stop: one whose upstream takes longer
// than the stop may last is answered that it may have run.
func TestStopAnswersLongRequests(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := gautengSetup()
		s.config = strings.Replace(s.config, "deadline: 10s", "deadline: 60s", 1)
		is.True(s.config != examples.Gauteng)
		sc := newScenario(t, s)
		time.Sleep(2 * time.Second)
		for _, u := range sc.Upstreams {
			u.SetFaults(upsim.Faults{Late: time.Minute})
		}
		const last = 9 // holds no replica
		key, _ := sc.keyWithDispatcher(func(host int) bool { return host == last })
		answers := make(chan string, 2)
		for _, wall := range []string{key, "wall-1"} {
			go func() { answers <- sc.postBooking(sc.Entries()[last], wall, "r-"+wall, 1, 0) }()
		}
		time.Sleep(time.Second)
		sc.Hosts[last].Stop(context.Background())
		sc.down[last] = true
		for range 2 {
			is.Equal(<-answers, "may-have-run")
		}
		time.Sleep(time.Minute) // the work at the upstreams ends meanwhile
	})
}

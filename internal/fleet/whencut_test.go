package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/memnet"
)

// What a service with keys serves with when-cut move and stay, with one zone and with all zones cut.
// Both keep every promise; the log shows the worth that each has served.
func TestWhenCut(t *testing.T) {
	cuts := map[string]func(from, to memnet.Place) bool{"one-zone": isolated("b"), "all-zones": apart}
	for name, cut := range cuts {
		for _, choice := range []string{"move", "stay"} {
			t.Run(fmt.Sprint(name, "/", choice), func(t *testing.T) {
				t.Parallel()
				in(t, func(t *testing.T) {
					s := gautengSetup()
					s.config = strings.Replace(s.config, "when-cut: move", "when-cut: "+choice, 1)
					sc := open(t, s)
					sc.load(load.Gauteng(), steadyRate, 14*time.Second)
					time.Sleep(2 * time.Second)
					sc.net.Cut(cut)
					time.Sleep(10 * time.Second)
					sc.net.Heal()
					served, asked := sc.judge().Worth()
					t.Logf("%s/%s: worth served on target %.3f", name, choice, served/asked)
				})
			})
		}
	}
}

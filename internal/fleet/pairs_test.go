package fleet

import (
	"flag"
	"slices"
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/load"
)

// soak has TestTwoFailures run every pair of failures.
var soak = flag.Bool("soak", false, "run every pair of failures, not just the usual ones")

// pairGap lies between two failures, so that the second comes amid the recovery from the first.
const pairGap = 500 * time.Millisecond

// usualPairs are the pairs that run with all other tests.
var usualPairs = [][2]string{
	{"dispatcher-lost", "leader-lost"},
	{"upstream-lost", "dispatcher-lost"},
	{"upstream-frozen", "leader-lost"},
	{"zone-cut", "dispatcher-lost"},
	{"zone-cut", "upstream-frozen"},
	{"connections-silent", "leader-lost"},
	{"connections-silent", "dispatcher-lost"},
	{"leader-zone-lost", "dispatcher-lost"},
	{"rolling-restart", "upstream-frozen"},
}

// tolerated is how many of three replicas can be lost while the log goes on.
const tolerated = 1

// then is a failure that is followed by another one.
func (f failure) then(next failure) failure {
	return failure{
		name: f.name + "+" + next.name,
		strike: func(sc *scene) {
			f.strike(sc)
			time.Sleep(pairGap)
			next.strike(sc)
		},
		calm: func(sc *scene) {
			for _, one := range []failure{f, next} {
				if one.calm != nil {
					one.calm(sc)
				}
			}
		},
		cutOff:   f.cutOff || next.cutOff || f.replicas+next.replicas > tolerated,
		freezes:  f.freezes || next.freezes,
		replicas: f.replicas + next.replicas,
		gap:      pairGap,
	}
}

// pairs lists the failures that come together; two cuts of the network are one.
func pairs() []failure {
	var list []failure
	for _, first := range failures() {
		for _, next := range failures() {
			isUsual := slices.Contains(usualPairs, [2]string{first.name, next.name})
			areCuts := first.isCut() && next.isCut()
			if isUsual || *soak && !areCuts && first.name != next.name {
				list = append(list, first.then(next))
			}
		}
	}
	return list
}

func (f failure) isCut() bool { return f.cutOff || f.name == "one-way-cut" }

// Two failures together break no promise either.
func TestTwoFailures(t *testing.T) {
	for i, f := range pairs() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			in(t, func(t *testing.T) {
				s := gautengSetup()
				s.checks = i%2 == 0
				sc := open(t, s)
				f.befall(sc, load.Gauteng(), steadyRate, 17*time.Second)
				f.check(t, sc.judge())
			})
		})
	}
}

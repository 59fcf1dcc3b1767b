package fleet

import (
	"flag"
	"slices"
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/load"
)

// soak makes TestTwoFailures run every pair of failures.
var soak = flag.Bool("soak", false, "run every pair of failures, not only the default ones")

// pairInterval is the time between two failures, short enough for the second to come during the recovery from
// the first.
const pairInterval = 500 * time.Millisecond

// defaultPairs are the pairs that run without -soak.
var defaultPairs = [][2]string{
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

// maxLostReplicas is how many of three replicas can be lost without loss of the quorum.
const maxLostReplicas = 1

// followedBy returns the failure that injects f and, pairInterval later, next.
func (f failure) followedBy(next failure) failure {
	return failure{
		name: f.name + "+" + next.name,
		inject: func(sc *scenario) {
			f.inject(sc)
			time.Sleep(pairInterval)
			next.inject(sc)
		},
		restore: func(sc *scenario) {
			for _, part := range []failure{f, next} {
				if part.restore != nil {
					part.restore(sc)
				}
			}
		},
		blocksKeys:      f.blocksKeys || next.blocksKeys || f.lostReplicas+next.lostReplicas > maxLostReplicas,
		freezesUpstream: f.freezesUpstream || next.freezesUpstream,
		lostReplicas:    f.lostReplicas + next.lostReplicas,
		interval:        pairInterval,
	}
}

// failurePairs returns the default pairs or, with -soak, every pair of different failures except pairs of two
// partitions, since the second replaces the first.
func failurePairs() []failure {
	var list []failure
	for _, first := range failures() {
		for _, next := range failures() {
			isDefault := slices.Contains(defaultPairs, [2]string{first.name, next.name})
			arePartitions := first.isPartition() && next.isPartition()
			if isDefault || *soak && !arePartitions && first.name != next.name {
				list = append(list, first.followedBy(next))
			}
		}
	}
	return list
}

func (f failure) isPartition() bool { return f.blocksKeys || f.name == "one-way-cut" }

// Two failures in short succession must not violate a guarantee, and keys must be served again within the target.
func TestTwoFailures(t *testing.T) {
	for i, f := range failurePairs() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				s := gautengSetup()
				s.verifiesGrants = i%2 == 0
				sc := newScenario(t, s)
				f.runUnderLoad(sc, load.Gauteng(), steadyRate, 17*time.Second)
				f.checkTargets(t, sc.verify())
			})
		})
	}
}

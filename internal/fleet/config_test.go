package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/examples"
	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/place"
)

// configTarget is the time within which an accepted configuration must be in force on every host.
const configTarget = 4 * time.Second

// changeConfig submits a configuration to a host as an operator does; expected is the version that it replaces.
func (sc *scenario) changeConfig(host int, id string, expected uint64) (state.AcceptResult, error) {
	return sc.Hosts[host].Accept(context.Background(), state.AcceptConfig{
		RequestID: id, ExpectedVersion: expected, ConfigText: examples.Gauteng + "# " + id + "\n",
	})
}

// awaitVersion waits until a version is in force on all hosts for which isWanted returns true.
func (sc *scenario) awaitVersion(version uint64, isWanted func(host int) bool) {
	sc.t.Helper()
	start := time.Now()
	for i, host := range sc.Hosts {
		for isWanted(i) && host.Status(time.Now()).ConfigVersion < version {
			if time.Since(start) > configTarget {
				sc.t.Fatalf("version %d is not in force on %s after %v", version, sc.Settings[i].Name, configTarget)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func everyHost(int) bool { return true }

// Guards against a configuration that reverts: pairs of operators submit 320 changes with equal expected versions
// and send the winning ones again, then all hosts crash and restart.
func TestConfigNeverReverts(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		sc := newScenario(t, smallSetup())
		version := uint64(1)
		for round := range 160 {
			results := make([]state.AcceptResult, 2)
			var pending sync.WaitGroup
			for i := range results {
				pending.Go(func() { results[i], _ = sc.changeConfig((round+i)%3, fmt.Sprint(round, "-", i), version) })
			}
			pending.Wait()
			winner := 0
			if results[0].Refused != "" {
				winner = 1
			}
			is.Equal(results[winner].Refused, "")                                            // one operator wins
			is.True(strings.Contains(results[1-winner].Refused, "is accepted"))              // the other one gets the reason
			is.Equal(results[winner].ConfigVersion, version+1)                               // versions increase by one
			resent, err := sc.changeConfig(round%3, fmt.Sprint(round, "-", winner), version) // a resend
			is.NoErr(err)
			is.Equal(resent, results[winner])
			version = resent.ConfigVersion
		}
		sc.awaitVersion(version, everyHost)
		for i := range sc.Hosts {
			sc.Hosts[i].Kill()
		}
		for i := range sc.Hosts {
			restart(sc, i)
		}
		sc.awaitVersion(version, everyHost)
		for _, host := range sc.Hosts {
			is.Equal(host.Status(time.Now()).ConfigVersion, version)
		}
	})
}

// Hosts of a zone without a replica follow the log through a relay in their zone. Once that relay is lost, they must
// follow a replica directly.
func TestZonesFollowRelays(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := smallSetup()
		s.hosts, s.zones, s.replicas = 15, []string{"a", "b", "c", "d", "e"}, 3
		sc := newScenario(t, s)
		time.Sleep(10 * time.Second) // until every host follows its preferred source
		first, err := sc.changeConfig(0, "first", 1)
		is.NoErr(err)
		sc.awaitVersion(first.ConfigVersion, everyHost)
		relay := place.Best("d", []string{"d1", "d2", "d3"})
		before := sc.net.BytesSent(relay)
		second, err := sc.changeConfig(0, "second", first.ConfigVersion)
		is.NoErr(err)
		sc.awaitVersion(second.ConfigVersion, everyHost)
		is.True(sc.net.BytesSent(relay)-before > int64(len(examples.Gauteng))) // the relay has sent the configuration on
		lost := sc.hostNamed(relay)
		sc.Hosts[lost].Kill()
		third, err := sc.changeConfig(0, "third", second.ConfigVersion)
		is.NoErr(err)
		sc.awaitVersion(third.ConfigVersion, func(host int) bool { return host != lost })
	})
}

// In a large zone hosts form a tree in which each follows another host. When inner hosts are lost, their followers
// must follow the host above them.
func TestLargeZoneFollowsThroughLosses(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := smallSetup()
		s.hosts, s.zones, s.replicas = 24, []string{"a", "b"}, 3
		sc := newScenario(t, s)
		time.Sleep(10 * time.Second) // until every host follows its preferred source
		others := slices.DeleteFunc(sc.namesIn("b"), func(name string) bool { return name == "b1" })
		followed := place.Rank("b", others)[:2]
		for _, name := range followed {
			sc.kill(sc.hostNamed(name))
		}
		accepted, err := sc.changeConfig(0, "during-loss", 1)
		is.NoErr(err)
		sc.awaitVersion(accepted.ConfigVersion, func(host int) bool { return !sc.down[host] })
	})
}

// namesIn returns the names of the hosts of a zone.
func (sc *scenario) namesIn(zone string) []string {
	var names []string
	for _, settings := range sc.Settings {
		if settings.Zone == zone {
			names = append(names, settings.Name)
		}
	}
	return names
}

// A configuration must be in force within the target while the leader is lost, and in a zone that was cut off
// within the target of the partition's end.
func TestConfigThroughFailures(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := smallSetup()
		s.hosts = 6
		sc := newScenario(t, s)
		lost := sc.leader()
		sc.Hosts[lost].Kill()
		accepted, err := sc.changeConfig((lost+1)%6, "during-loss", 1)
		is.NoErr(err)
		sc.awaitVersion(accepted.ConfigVersion, func(host int) bool { return host != lost })
		restart(sc, lost)
		zone := sc.zoneOf((lost + 1) % 6)
		sc.net.Partition(isolated(zone))
		time.Sleep(5 * time.Second)
		accepted, err = sc.changeConfig((lost+2)%6, "during-cut", 2)
		is.NoErr(err)
		sc.awaitVersion(accepted.ConfigVersion, func(host int) bool { return sc.zoneOf(host) != zone })
		_, err = sc.changeConfig((lost+1)%6, "in-the-cut", 3)
		is.True(err != nil) // a zone without a quorum accepts nothing
		sc.net.Heal()
		sc.awaitVersion(accepted.ConfigVersion, everyHost)
	})
}

// A control host is cut off from the other zones for ten minutes, while the configuration changes many times.
// Its callers must be served through the other hosts of its zone. When the partition ends, the host must not
// replace the leader by a new election, and no configuration may revert.
func TestControlHostSilentForLong(t *testing.T) {
	const partitionTime, changes = 10 * time.Minute, 20
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := smallSetup()
		s.hosts = 6
		sc := newScenario(t, s)
		sc.startLoad(load.Gauteng(), 4, partitionTime+20*time.Second)
		sc.net.Partition(hostIsolated("c1", "c"))
		sc.down[sc.hostNamed("c1")] = true
		version := uint64(1)
		for change := range changes {
			time.Sleep(partitionTime / changes)
			accepted, err := sc.changeConfig(sc.leader(), fmt.Sprint("change-", change), version)
			is.NoErr(err)
			is.Equal(accepted.Refused, "")
			version = accepted.ConfigVersion
		}
		before := sc.leader()
		sc.net.Heal()
		sc.awaitVersion(version, everyHost)
		clear(sc.down)
		time.Sleep(5 * time.Second)
		is.Equal(sc.leader(), before)
		result := sc.verify()
		for _, tally := range result.Tallies {
			if tally.Unknown > maxInFlight {
				t.Errorf("%s: %d requests with unknown outcome", tally.Call.Name, tally.Unknown)
			}
			if tally.Refused > 0 {
				t.Errorf("%s: %d of %d refused", tally.Call.Name, tally.Refused, tally.Sent)
			}
		}
	})
}

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

// inForceWithin is the target for an accepted configuration to be in force everywhere.
const inForceWithin = 4 * time.Second

// accept has an operator change the configuration by way of one host.
func (sc *scene) accept(host int, id string, expected uint64) (state.AcceptResult, error) {
	return sc.Hosts[host].Accept(context.Background(), state.AcceptConfig{
		RequestID: id, ExpectedVersion: expected, ConfigText: examples.Gauteng + "# " + id + "\n",
	})
}

// awaitVersion waits until the hosts that are named have a version in force.
func (sc *scene) awaitVersion(version uint64, isWanted func(host int) bool) {
	sc.t.Helper()
	began := time.Now()
	for i, host := range sc.Hosts {
		for isWanted(i) && host.Status(time.Now()).ConfigVersion < version {
			if time.Since(began) > inForceWithin {
				sc.t.Fatalf("version %d is not in force on %s after %v", version, sc.Settings[i].Name, inForceWithin)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func everyHost(int) bool { return true }

// Operators race each other with equal versions through 320 changes, and resend. Then all hosts are
// lost and start again: nothing reverts.
func TestConfigNeverReverts(t *testing.T) {
	in(t, func(t *testing.T) {
		is := is.New(t)
		sc := open(t, smallSetup())
		version := uint64(1)
		for round := range 160 {
			answers := make([]state.AcceptResult, 2)
			var group sync.WaitGroup
			for i := range answers {
				group.Go(func() { answers[i], _ = sc.accept((round+i)%3, fmt.Sprint(round, "-", i), version) })
			}
			group.Wait()
			winner := 0
			if answers[0].Refused != "" {
				winner = 1
			}
			is.Equal(answers[winner].Refused, "")                                     // one wins
			is.True(strings.Contains(answers[1-winner].Refused, "is accepted"))       // the other is told
			is.Equal(answers[winner].ConfigVersion, version+1)                        // and versions rise
			again, err := sc.accept(round%3, fmt.Sprint(round, "-", winner), version) // a resend
			is.NoErr(err)
			is.Equal(again, answers[winner])
			version = again.ConfigVersion
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

// Zones without a replica follow through a relay of their own; when it is lost they follow a replica.
func TestZonesFollowRelays(t *testing.T) {
	in(t, func(t *testing.T) {
		is := is.New(t)
		s := smallSetup()
		s.hosts, s.zones, s.replicas = 15, []string{"a", "b", "c", "d", "e"}, 3
		sc := open(t, s)
		time.Sleep(10 * time.Second) // until every host follows its preferred source
		first, err := sc.accept(0, "first", 1)
		is.NoErr(err)
		sc.awaitVersion(first.ConfigVersion, everyHost)
		relay := place.Best("d", []string{"d1", "d2", "d3"})
		before := sc.net.BytesSent(relay)
		second, err := sc.accept(0, "second", first.ConfigVersion)
		is.NoErr(err)
		sc.awaitVersion(second.ConfigVersion, everyHost)
		is.True(sc.net.BytesSent(relay)-before > int64(len(examples.Gauteng))) // the relay has passed it on
		lost := sc.hostNamed(relay)
		sc.Hosts[lost].Kill()
		third, err := sc.accept(0, "third", second.ConfigVersion)
		is.NoErr(err)
		sc.awaitVersion(third.ConfigVersion, func(host int) bool { return host != lost })
	})
}

// In a large zone hosts follow one another; when one that others follow is lost, those follow the host above.
func TestLargeZoneFollowsThroughLosses(t *testing.T) {
	in(t, func(t *testing.T) {
		is := is.New(t)
		s := smallSetup()
		s.hosts, s.zones, s.replicas = 24, []string{"a", "b"}, 3
		sc := open(t, s)
		time.Sleep(10 * time.Second) // until every host follows its preferred source
		others := slices.DeleteFunc(sc.namesIn("b"), func(name string) bool { return name == "b1" })
		inner := place.Rank("b", others)[:2]
		for _, name := range inner {
			sc.kill(sc.hostNamed(name))
		}
		accepted, err := sc.accept(0, "during-loss", 1)
		is.NoErr(err)
		sc.awaitVersion(accepted.ConfigVersion, func(host int) bool { return !sc.victims[host] })
	})
}

// namesIn lists the hosts of a zone.
func (sc *scene) namesIn(zone string) []string {
	var names []string
	for _, settings := range sc.Settings {
		if settings.Zone == zone {
			names = append(names, settings.Name)
		}
	}
	return names
}

// A configuration is in force within the target while the leader is lost, and on a zone that was cut
// off once it is back.
func TestConfigThroughFailures(t *testing.T) {
	in(t, func(t *testing.T) {
		is := is.New(t)
		s := smallSetup()
		s.hosts = 6
		sc := open(t, s)
		lost := sc.leader()
		sc.Hosts[lost].Kill()
		accepted, err := sc.accept((lost+1)%6, "during-loss", 1)
		is.NoErr(err)
		sc.awaitVersion(accepted.ConfigVersion, func(host int) bool { return host != lost })
		restart(sc, lost)
		zone := sc.zoneOf((lost + 1) % 6)
		sc.net.Partition(isolated(zone))
		time.Sleep(5 * time.Second)
		accepted, err = sc.accept((lost+2)%6, "during-cut", 2)
		is.NoErr(err)
		sc.awaitVersion(accepted.ConfigVersion, func(host int) bool { return sc.zoneOf(host) != zone })
		_, err = sc.accept((lost+1)%6, "in-the-cut", 3)
		is.True(err != nil) // a zone without a quorum accepts nothing
		sc.net.Heal()
		sc.awaitVersion(accepted.ConfigVersion, everyHost)
	})
}

// A control host sits on the far side of a partition for ten minutes, and reaches its own zone alone. The
// others go on and change the configuration many times; what its callers ask for is served by way of its
// zone. When it is back, it unseats no leader and nothing reverts.
func TestControlHostSilentForLong(t *testing.T) {
	const silence, changes = 10 * time.Minute, 20
	in(t, func(t *testing.T) {
		is := is.New(t)
		s := smallSetup()
		s.hosts = 6
		sc := open(t, s)
		sc.load(load.Gauteng(), 4, silence+20*time.Second)
		sc.net.Partition(hostCut("c1", "c"))
		sc.victims[sc.hostNamed("c1")] = true
		version := uint64(1)
		for change := range changes {
			time.Sleep(silence / changes)
			accepted, err := sc.accept(sc.leader(), fmt.Sprint("change-", change), version)
			is.NoErr(err)
			is.Equal(accepted.Refused, "")
			version = accepted.ConfigVersion
		}
		before := sc.leader()
		sc.net.Heal()
		sc.awaitVersion(version, everyHost)
		clear(sc.victims)
		time.Sleep(5 * time.Second)
		is.Equal(sc.leader(), before)
		result := sc.judge()
		for _, tally := range result.Tallies {
			if tally.Unknown > maxInFlight {
				t.Errorf("%s: the outcome of %d is unknown", tally.Call.Name, tally.Unknown)
			}
			if tally.Refused > 0 {
				t.Errorf("%s: %d of %d refused", tally.Call.Name, tally.Refused, tally.Sent)
			}
		}
	})
}

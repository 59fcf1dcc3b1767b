package core

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/clock"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
	"lovagelink.example/lovagelink/internal/site"
)

// The members of the log spread over the zones: candidates of zones without a member join first, and take the place of
// members in a zone that has several.
func TestVotersSpreadOverZones(t *testing.T) {
	is := is.New(t)
	host := func(name, zone string) Member { return Member{Name: name, Zone: zone} }
	members := []Member{host("a1", "a"), host("a2", "a"), host("a3", "a")}
	candidates := []Member{host("b1", "b"), host("b2", "b"), host("c1", "c"), host("d1", "d"), host("e1", "e")}
	for range 10 {
		change, ok := planVoters(members, candidates, "a1", 5)
		if !ok {
			break
		}
		for i, c := range candidates {
			if c.Name == change.Join {
				members = append(members, c)
				candidates = append(candidates[:i], candidates[i+1:]...)
				break
			}
		}
		for i, m := range members {
			if m.Name == change.Replaces {
				members = append(members[:i], members[i+1:]...)
				break
			}
		}
	}
	inZone := make(map[string]int)
	for _, m := range members {
		inZone[m.Zone]++
	}
	is.Equal(inZone, map[string]int{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1})
	is.Equal(members[0].Name, "a1") // the leader stays

	_, ok := planVoters([]Member{host("a1", "a"), host("b1", "b")}, nil, "a1", 5)
	is.True(!ok)
	_, ok = planVoters([]Member{host("a1", "a"), host("a2", "a")}, []Member{host("x", "")}, "a1", 2)
	is.True(!ok) // a host whose zone is not known takes nobody's place
	_, ok = planVoters([]Member{host("a1", "a"), host("a2", "a"), host("b1", "b")}, []Member{host("b2", "b")}, "a1", 3)
	is.True(!ok) // no better spread
}

// startHosts starts a control host in each of the zones; the first three are the seeds.
func startHosts(t *testing.T, last byte, zones []string, client UpstreamClient) []*Host {
	t.Helper()
	var hosts []*Host
	for i, zone := range zones {
		h, stop := startMember(t, last, i, zone, t.TempDir(), client)
		t.Cleanup(stop)
		hosts = append(hosts, h)
	}
	return hosts
}

// startMember starts the control host of a number, for a data folder that may hold the state of an earlier run. Those of
// the first three numbers are the seeds.
func startMember(t *testing.T, last byte, i int, zone, folder string, client UpstreamClient) (*Host, func()) {
	t.Helper()
	h := newMember(t, last, i, zone, folder, client)
	return h, runMember(t, h)
}

func newMember(t *testing.T, last byte, i int, zone, folder string, client UpstreamClient) *Host {
	t.Helper()
	var seeds []netip.AddrPort
	for seed := range 3 {
		seeds = append(seeds, loopback(last+byte(seed), 29200))
	}
	settings := site.Host{
		Name: fmt.Sprint("core-", i), Zone: zone, IP: loopback(last+byte(i), 0).Addr(), Internal: 29201, Seeds: seeds, Bootstrap: true,
		DataFolder: folder, Control: loopback(last+byte(i), 29200), LostHosts: 1, Bounds: site.Bounds{CatchUp: 4 * time.Second, MaxGrantTTL: 10 * time.Second, HeartbeatInterval: 200 * time.Millisecond},
	}
	endpoint := peer.NewDynamic(peer.TCP{}, settings.PeerName(settings.Control), settings.PeerAddress(settings.Control))
	h, err := New(time.Now(), settings, endpoint, func() UpstreamClient { return client }, clock.New(), log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func runMember(t *testing.T, h *Host) (stop func()) {
	t.Helper()
	if err := h.endpoint.Start(); err != nil {
		t.Fatal(err)
	}
	h.Start()
	return func() {
		h.Stop()
		h.endpoint.Stop()
	}
}

// Eight control hosts whose seeds are in one zone: the five members of the log spread over the zones, and the hosts
// without a vote serve upstreams, the operator and entry hosts like the others.
func TestHostsWithoutVoteServe(t *testing.T) {
	is := is.New(t)
	u := newFakeUpstreams()
	hosts := startHosts(t, 70, []string{"a", "a", "a", "b", "b", "c", "d", "e"}, u)
	ctx := context.Background()
	membersOf := func() (zones map[string]int) {
		zones = make(map[string]int)
		for _, h := range hosts {
			if _, leads := h.leads(time.Now()); !leads {
				continue
			}
			for _, m := range h.membersWithZones(time.Now()) {
				zones[m.Zone]++
			}
		}
		return zones
	}
	waitFor(t, "five members in five zones", func() bool { return len(membersOf()) == 5 && membersOf()["a"] == 1 })

	var leader *Host
	waitFor(t, "a leader", func() bool {
		i := slices.IndexFunc(hosts, func(h *Host) bool {
			_, leads := h.leads(time.Now())
			return leads
		})
		if i >= 0 {
			leader = hosts[i]
		}
		return i >= 0
	})
	var mirrors []*Host
	for _, h := range hosts {
		if !slices.Contains(leader.memberNames(time.Now()), h.name) {
			mirrors = append(mirrors, h)
		}
	}
	is.Equal(len(mirrors), 3)
	body := []byte(`the operator's text`)
	waitFor(t, "a configuration that a host without a vote accepts", func() bool {
		return mirrors[0].AcceptConfig(ctx, time.Now(), route.Config{Version: 4, Services: []route.Service{{Name: "s", Keyed: true}}}, body) == nil
	})
	for _, h := range hosts {
		waitFor(t, "the configuration at each host", func() bool {
			read, err := h.CurrentConfig(ctx, time.Now())
			return err == nil && string(read) == string(body)
		})
		waitFor(t, "all hosts to be listed", func() bool { return len(h.controlHosts(time.Now())) == len(hosts) })
	}
	sendHeartbeats(t, mirrors[1], 90, 91)
	waitFor(t, "keys granted", func() bool {
		return u.ownedKeys(loopback(90, 29300))+u.ownedKeys(loopback(91, 29300)) == realm.AllKeys.Size()
	})
	waitFor(t, "the owners in the state that a host without a vote publishes", func() bool {
		reply, err := mirrors[2].handleFollow(ctx, "", FollowRequest{Encoded: true})
		if err != nil || !reply.LeaderReachable || reply.IsReplica {
			return false
		}
		update, err := reply.Decode()
		if err != nil || update.Config == nil || len(update.Upstreams) != 2 {
			return false
		}
		covered := 0
		for _, r := range update.Ranges["s"] {
			if r.Active {
				covered += r.Size()
			}
		}
		return covered == realm.AllKeys.Size()
	})
	is.NoErr(mirrors[2].Deregister(ctx, time.Now(), upstreamOf(90).ID))
	waitFor(t, "the keys of the upstream that left to move", func() bool { return u.ownedKeys(loopback(91, 29300)) == realm.AllKeys.Size() })
	u.mu.Lock()
	defer u.mu.Unlock()
	is.NoErr(u.violation)
}

// A mirrored state counts as recent from the request on: the response may have been on its way for as long as it likes.
func TestMirrorContactCountsFromTheRequest(t *testing.T) {
	is := is.New(t)
	h, _ := restartedHost(t, 45)
	if err := h.endpoint.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.endpoint.Stop)
	address := loopback(46, 29201)
	source := peer.NewDynamic(peer.TCP{}, address.String(), address)
	var arrivedAt time.Time
	peer.HandleTyped(source, "follow", func(context.Context, string, FollowRequest) (FollowReply, error) {
		arrivedAt = time.Now()
		time.Sleep(50 * time.Millisecond)
		return FollowReply{LeaderReachable: true, IsReplica: true, Update: &realm.Update{}}, nil
	})
	if err := source.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(source.Stop)
	is.NoErr(h.mirrorFrom(context.Background(), address.String()))
	is.True(!h.mirror.contactAt.After(arrivedAt))
}

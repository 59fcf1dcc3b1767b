package core

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// manyOwners is the number of upstreams with keys in a deployment of 285 entry hosts.
const manyOwners = 880

// idleClient acknowledges everything.
type idleClient struct{}

func (idleClient) Grant(context.Context, calls.Target, calls.Grant) error { return nil }

func (idleClient) Release(context.Context, calls.Target, realm.KeyRange, uint64) (string, error) {
	return "", nil
}

func manyUpstreams() (joined []realm.Upstream) {
	for i := range manyOwners {
		joined = append(joined, realm.Upstream{
			Instance: realm.Instance{ID: fmt.Sprintf("i-%08x", i*7919), StartMillis: 1}, Service: "keyed",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80), Zone: fmt.Sprint("zone-", i%5), Concurrency: 2,
		})
	}
	return joined
}

// startLargeHost starts the only control host of a deployment with manyOwners upstreams, all of which own keys.
func startLargeHost(t *testing.T, last byte, client UpstreamClient) *Host {
	t.Helper()
	h := startHost(t, last, client)
	ctx := context.Background()
	for _, command := range []realm.Command{
		{AcceptConfig: &realm.AcceptConfig{Config: route.Config{Version: 1, Services: []route.Service{{Name: "keyed", Keyed: true}}}}},
		{Join: manyUpstreams()},
	} {
		if err := h.propose(ctx, paxos.Ballot{}, command); err != nil {
			t.Fatal(err)
		}
	}
	return h
}

// All keys of a large deployment become active, in few entries of the log: each costs every control host the same, and
// each publication costs every entry host.
func TestManyOwnersTakeKeysInFewEntries(t *testing.T) {
	is := is.New(t)
	h := startLargeHost(t, 61, idleClient{})
	stop := make(chan struct{})
	defer close(stop)
	go func() { // heartbeats
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			for _, u := range manyUpstreams() {
				h.recordHeartbeats(time.Now(), u.Instance)
			}
		}
	}()
	before := h.Status(time.Now()).Commit
	waitFor(t, "all keys to be active", func() (all bool) {
		h.Read(func(s *realm.State) {
			ownership := s.Ownership["keyed"]
			if ownership == nil {
				return
			}
			all = len(ownership.Ranges.Gaps()) == 0
			for _, r := range ownership.Ranges {
				all = all && r.Active
			}
		})
		return all
	})
	entries := h.Status(time.Now()).Commit - before
	t.Logf("%d owners, %d entries", manyOwners, entries)
	is.True(entries < manyOwners/8)
}

func largeState(b *testing.B) *realm.State {
	b.Helper()
	s := realm.New()
	ranges := realm.Ranges{}
	for i, u := range manyUpstreams() {
		u.Changed = uint64(i + 1)
		s.Upstreams[u.ID] = &u
		keys := realm.KeyRange{From: uint16(i * 65536 / manyOwners), To: uint16((i+1)*65536/manyOwners - 1)}
		ranges = append(ranges, realm.Range{KeyRange: keys, Owner: u.Instance, FencingToken: uint64(i + 1), Active: true, Changed: uint64(i + 1)})
	}
	s.Config = &route.Config{Version: 1, Services: []route.Service{{Name: "keyed", Keyed: true}}}
	s.Ownership["keyed"] = &realm.Ownership{Ranges: ranges}
	s.Index = manyOwners
	return s
}

// BenchmarkApplyActivation applies the entry that marks one range of many as active.
func BenchmarkApplyActivation(b *testing.B) {
	s := largeState(b)
	i := 0
	for b.Loop() {
		r := s.Ownership["keyed"].Ranges[i%manyOwners]
		data := fmt.Appendf(nil, `{"take":[{"service":"keyed","keys":{"from":%d,"to":%d},"fence":%d,"active":%t}]}`, r.From, r.To, r.FencingToken, !r.Active)
		s.Apply(s.Index+1, data)
		i++
	}
}

package core

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// An order that is sent again while it is being replicated becomes one entry of the log, also if nobody waits for the first
// call any more. With thousands of routes each further entry takes all control hosts as long as the first.
func TestRepeatedOrderIsProposedOnce(t *testing.T) {
	is := is.New(t)
	h := startHost(t, 47, newFakeUpstreams())
	before := h.Status(time.Now()).Commit
	command := realm.Command{AcceptConfig: &realm.AcceptConfig{Config: route.Config{Version: 5}, Body: []byte("5")}}
	givenUp, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = h.handlePropose(givenUp, "core-2", command)
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() {
			reply, err := h.handlePropose(context.Background(), "core-2", command)
			is.NoErr(err)
			is.True(reply.OK)
		})
	}
	calls.Wait()
	is.Equal(h.Status(time.Now()).Commit, before+1)
	h.Read(func(s *realm.State) { is.Equal(string(s.Body), "5") })
}

// Two operators send different content under one version: one of them is in force, and both get an answer.
func TestOrdersOfTheSameVersionDiffer(t *testing.T) {
	is := is.New(t)
	h := startHost(t, 48, newFakeUpstreams())
	var calls sync.WaitGroup
	for _, body := range []string{"a", "b"} {
		calls.Go(func() {
			command := realm.Command{AcceptConfig: &realm.AcceptConfig{Config: route.Config{Version: 5}, Body: []byte(body)}}
			reply, err := h.handlePropose(context.Background(), "core-2", command)
			is.NoErr(err)
			is.True(reply.OK)
		})
	}
	calls.Wait()
	h.Read(func(s *realm.State) { is.True(string(s.Body) == "a" || string(s.Body) == "b") })
	is.Equal(len(h.configOrders), 0)
}

// A host that does not lead acknowledges an order that takes the leader longer than a usual call: with thousands of routes
// encoding, replication and the call itself take more than half a second on a part of a core.
func TestForwardedLargeOrderIsAcknowledged(t *testing.T) {
	is := is.New(t)
	h, held := restartedHost(t, 49)
	if err := h.endpoint.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.endpoint.Stop)
	address := loopback(50, 29201)
	leader := peer.NewDynamic(peer.TCP{}, address.String(), address)
	peer.HandleTyped(leader, "order", func(context.Context, string, json.RawMessage) (proposeReply, error) {
		time.Sleep(450 * time.Millisecond)
		return proposeReply{OK: true}, nil
	})
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(leader.Stop)
	replica := h.currentReplica().replica
	ballot := paxos.Ballot{Round: 100, Name: address.String()}
	_, err := replica.HandleAccept(time.Now(), paxos.AcceptArgs{
		To: replica.Identify().ID, Ballot: ballot, Prev: held, BallotStart: held + 1, Commit: held + 1,
		Entries: []paxos.Entry{{Index: held + 1, Ballot: ballot, Kind: paxos.KindNoop}},
	})
	is.NoErr(err)
	is.Equal(h.leaderName(time.Now()), address.String())
	is.NoErr(h.AcceptConfig(context.Background(), time.Now(), route.Config{Version: 5}, make([]byte, 256<<10))) // which gives the call seconds, also under the race detector
}

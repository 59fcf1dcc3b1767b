package core

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/clock"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/route"
	"lovagelink.example/lovagelink/internal/site"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// restartedHost returns a control host that has restarted with version 1 of the configuration on its disk and hears of
// no leader, and the index up to which it holds the log.
func restartedHost(t *testing.T, last byte) (*Host, uint64) {
	t.Helper()
	folder := t.TempDir()
	before, stop := startHostIn(t, last, folder, func() UpstreamClient { return newFakeUpstreams() }, clock.New())
	if err := before.AcceptConfig(context.Background(), time.Now(), route.Config{Version: 1}, []byte("1")); err != nil {
		t.Fatal(err)
	}
	stop()
	settings := site.Host{
		Name: "core-1", IP: loopback(last, 0).Addr(), Internal: 29201, Seeds: []netip.AddrPort{loopback(last, 29200)},
		DataFolder: folder, Control: loopback(last, 29200),
	}
	endpoint := peer.NewDynamic(peer.TCP{}, settings.PeerName(settings.Control), settings.PeerAddress(settings.Control))
	h, err := New(time.Now(), settings, endpoint, func() UpstreamClient { return newFakeUpstreams() }, clock.New(), log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		h.currentReplica().replica.Start() // a replica that was never started can't be stopped
		_ = h.currentReplica().replica.Stop()
	})
	h.feed.publish(h.newestStore())
	return h, h.Status(time.Now()).Commit
}

// A control host that has promised a candidate, or that a leader has told of entries which it does not hold yet, may
// have an older configuration than was acknowledged: entry hosts must not take its state for the newest.
func TestLaggingControlHostIsNotFollowed(t *testing.T) {
	is := is.New(t)
	h, held := restartedHost(t, 40)
	replica := h.currentReplica().replica
	id := replica.Identify().ID
	now := time.Now().Add(2 * time.Second) // the lease that may have been granted before the restart has expired
	follow := func() FollowReply {
		reply, err := h.handleFollow(context.Background(), "entry-1", FollowRequest{Encoded: true})
		is.NoErr(err)
		return reply
	}

	ballot := paxos.Ballot{Round: 100, Name: "core-2"}
	promise, err := replica.HandlePrepare(now, paxos.PrepareArgs{To: id, Ballot: ballot, From: held + 1})
	is.NoErr(err)
	is.True(promise.OK)
	is.True(!follow().LeaderReachable) // a candidate is no leader

	ahead := paxos.AcceptArgs{To: id, Ballot: ballot, Prev: held + 300, BallotStart: held + 300, Commit: held + 300}
	reply, err := replica.HandleAccept(now, ahead)
	is.NoErr(err)
	is.True(!reply.OK)
	is.True(!follow().LeaderReachable) // the leader has committed entries that this host lacks

	entry := paxos.Entry{Index: held + 1, Ballot: ballot, Kind: paxos.KindNoop}
	uncommitted := paxos.AcceptArgs{To: id, Ballot: ballot, Prev: held, BallotStart: held + 1, Commit: held, Entries: []paxos.Entry{entry}}
	_, err = replica.HandleAccept(now, uncommitted)
	is.NoErr(err)
	is.True(!follow().LeaderReachable) // the leader itself does not know yet what is committed

	_, err = replica.HandleAccept(now, paxos.AcceptArgs{To: id, Ballot: ballot, Prev: held + 1, BallotStart: held + 1, Commit: held + 1})
	is.NoErr(err)
	is.True(follow().LeaderReachable)
}

// While no leader is known, entry hosts ask again and again. They don't use the state that comes with such a reply, and
// hundreds of copies of it would take the time and the links that the election needs.
func TestNoStateIsSentWithoutLeader(t *testing.T) {
	is := is.New(t)
	h, _ := restartedHost(t, 41)
	reply, err := h.handleFollow(context.Background(), "entry-1", FollowRequest{Encoded: true})
	is.NoErr(err)
	is.True(!reply.LeaderReachable)
	is.True(reply.Encoded == nil && reply.Update == nil)
}

// A control host whose machine was suspended can't tell how old its knowledge is, although its clock says that it has
// heard from the leader just now.
func TestSuspendedFollowerIsNotCurrent(t *testing.T) {
	is := is.New(t)
	h, held := restartedHost(t, 42)
	var suspended time.Duration
	h.suspends = clock.NewWith(func() (time.Duration, error) { return suspended, nil })
	replica := h.currentReplica().replica
	ballot := paxos.Ballot{Round: 100, Name: "core-2"}
	accept := paxos.AcceptArgs{
		To: replica.Identify().ID, Ballot: ballot, Prev: held, BallotStart: held + 1, Commit: held + 1,
		Entries: []paxos.Entry{{Index: held + 1, Ballot: ballot, Kind: paxos.KindNoop}},
	}
	_, err := replica.HandleAccept(time.Now(), accept)
	is.NoErr(err)
	is.True(h.isCurrent(time.Now()))
	suspended += 4 * time.Second
	is.True(!h.isCurrent(time.Now()))
}

package ctrl

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// Transport carries the log's messages over the links between hosts.
type Transport struct {
	hub *peer.Endpoint
}

// NewTransport returns a transport over the links of a hub.
func NewTransport(hub *peer.Endpoint) Transport { return Transport{hub} }

// Identify asks who answers under a name.
func (t Transport) Identify(ctx context.Context, name string) (paxos.Identity, error) {
	return peer.Call[paxos.Identity](ctx, t.hub, name, "identify", struct{}{})
}

// Prepare asks for a promise.
func (t Transport) Prepare(ctx context.Context, name string, args paxos.PrepareArgs) (paxos.PrepareReply, error) {
	return peer.Call[paxos.PrepareReply](ctx, t.hub, name, "prepare", args)
}

// Accept carries entries.
func (t Transport) Accept(ctx context.Context, name string, args paxos.AcceptArgs) (paxos.AcceptReply, error) {
	return peer.Call[paxos.AcceptReply](ctx, t.hub, name, "accept", args)
}

// Install carries a snapshot.
func (t Transport) Install(ctx context.Context, name string, args paxos.SnapshotMessage) (paxos.AcceptReply, error) {
	return peer.Call[paxos.AcceptReply](ctx, t.hub, name, "install", args)
}

// Fetch asks for a snapshot.
func (t Transport) Fetch(ctx context.Context, name string) (paxos.SnapshotMessage, error) {
	return peer.Call[paxos.SnapshotMessage](ctx, t.hub, name, "fetch", struct{}{})
}

// Acceptor is what answers the log's messages.
type Acceptor interface {
	Identify() paxos.Identity
	HandlePrepare(now time.Time, args paxos.PrepareArgs) (paxos.PrepareReply, error)
	HandleAccept(now time.Time, args paxos.AcceptArgs) (paxos.AcceptReply, error)
	HandleInstall(now time.Time, args paxos.SnapshotMessage) (paxos.AcceptReply, error)
	HandleFetch() (paxos.SnapshotMessage, error)
}

// ServeReplica answers the log's messages from other hosts with the replica that runs at the time.
func ServeReplica(hub *peer.Endpoint, current func() Acceptor) {
	peer.HandleTyped(hub, "identify", func(context.Context, string, struct{}) (paxos.Identity, error) {
		return current().Identify(), nil
	})
	peer.HandleTyped(hub, "prepare", func(_ context.Context, _ string, args paxos.PrepareArgs) (paxos.PrepareReply, error) {
		return current().HandlePrepare(time.Now(), args)
	})
	peer.HandleTyped(hub, "accept", func(_ context.Context, _ string, args paxos.AcceptArgs) (paxos.AcceptReply, error) {
		return current().HandleAccept(time.Now(), args)
	})
	peer.HandleTyped(hub, "install", func(_ context.Context, _ string, args paxos.SnapshotMessage) (paxos.AcceptReply, error) {
		return current().HandleInstall(time.Now(), args)
	})
	peer.HandleTyped(hub, "fetch", func(context.Context, string, struct{}) (paxos.SnapshotMessage, error) {
		return current().HandleFetch()
	})
}

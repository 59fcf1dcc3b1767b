package ctrl

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// Transport sends the messages of the control log over the RPC connections between hosts.
type Transport struct {
	endpoint *peer.Endpoint
	timeout  time.Duration // time without any bytes after which a call for entries or a snapshot fails
}

// NewTransport returns a transport that uses the connections of an endpoint.
func NewTransport(endpoint *peer.Endpoint, timing paxos.Timing) Transport {
	return Transport{endpoint: endpoint, timeout: timing.Timeout}
}

// Identify requests the identity of the replica that listens under a name.
func (t Transport) Identify(ctx context.Context, name string) (paxos.Identity, error) {
	return peer.Call[paxos.Identity](ctx, t.endpoint, name, "identify", struct{}{})
}

// Prepare requests a promise for a ballot from a replica.
func (t Transport) Prepare(ctx context.Context, name string, args paxos.PrepareArgs) (paxos.PrepareReply, error) {
	return peer.CallWhileReceiving[paxos.PrepareReply](ctx, t.endpoint, name, "prepare", args, t.timeout)
}

// Accept sends log entries to a replica.
func (t Transport) Accept(ctx context.Context, name string, args paxos.AcceptArgs) (paxos.AcceptReply, error) {
	return peer.Call[paxos.AcceptReply](ctx, t.endpoint, name, "accept", args)
}

// Install sends a snapshot to a replica.
func (t Transport) Install(ctx context.Context, name string, args paxos.SnapshotMessage) (paxos.AcceptReply, error) {
	return peer.Call[paxos.AcceptReply](ctx, t.endpoint, name, "install", args)
}

// Fetch requests a snapshot from a replica.
func (t Transport) Fetch(ctx context.Context, name string) (paxos.SnapshotMessage, error) {
	return peer.CallWhileReceiving[paxos.SnapshotMessage](ctx, t.endpoint, name, "fetch", struct{}{}, t.timeout)
}

// Acceptor handles the messages of the control log.
type Acceptor interface {
	Identify() paxos.Identity
	HandlePrepare(now time.Time, args paxos.PrepareArgs) (paxos.PrepareReply, error)
	HandleAccept(now time.Time, args paxos.AcceptArgs) (paxos.AcceptReply, error)
	HandleInstall(now time.Time, args paxos.SnapshotMessage) (paxos.AcceptReply, error)
	HandleFetch() (paxos.SnapshotMessage, error)
}

// ServeReplica handles the log's messages from other hosts; current returns the replica that runs at that time.
func ServeReplica(endpoint *peer.Endpoint, current func() Acceptor) {
	peer.HandleTyped(endpoint, "identify", func(context.Context, string, struct{}) (paxos.Identity, error) {
		return current().Identify(), nil
	})
	peer.HandleTyped(endpoint, "prepare", func(_ context.Context, _ string, args paxos.PrepareArgs) (paxos.PrepareReply, error) {
		return current().HandlePrepare(time.Now(), args)
	})
	peer.HandleTyped(endpoint, "accept", func(_ context.Context, _ string, args paxos.AcceptArgs) (paxos.AcceptReply, error) {
		return current().HandleAccept(time.Now(), args)
	})
	peer.HandleTyped(endpoint, "install", func(_ context.Context, _ string, args paxos.SnapshotMessage) (paxos.AcceptReply, error) {
		return current().HandleInstall(time.Now(), args)
	})
	peer.HandleTyped(endpoint, "fetch", func(context.Context, string, struct{}) (paxos.SnapshotMessage, error) {
		return current().HandleFetch()
	})
}

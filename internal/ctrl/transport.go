package ctrl

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// transport carries the log's messages over the links between hosts.
type transport struct {
	hub *peer.Hub
}

func (t transport) Identify(ctx context.Context, name string) (paxos.Identity, error) {
	return peer.Call[paxos.Identity](ctx, t.hub, name, "identify", struct{}{})
}

func (t transport) Prepare(ctx context.Context, name string, args paxos.PrepareArgs) (paxos.PrepareReply, error) {
	return peer.Call[paxos.PrepareReply](ctx, t.hub, name, "prepare", args)
}

func (t transport) Accept(ctx context.Context, name string, args paxos.AcceptArgs) (paxos.AcceptReply, error) {
	return peer.Call[paxos.AcceptReply](ctx, t.hub, name, "accept", args)
}

func (t transport) Install(ctx context.Context, name string, args paxos.InstallArgs) (paxos.AcceptReply, error) {
	return peer.Call[paxos.AcceptReply](ctx, t.hub, name, "install", args)
}

func (t transport) Fetch(ctx context.Context, name string) (paxos.InstallArgs, error) {
	return peer.Call[paxos.InstallArgs](ctx, t.hub, name, "fetch", struct{}{})
}

// serveReplica answers the log's messages from other hosts.
func serveReplica(hub *peer.Hub, r *paxos.Replica) {
	peer.On(hub, "identify", func(context.Context, string, struct{}) (paxos.Identity, error) {
		return r.Identify(), nil
	})
	peer.On(hub, "prepare", func(_ context.Context, _ string, args paxos.PrepareArgs) (paxos.PrepareReply, error) {
		return r.HandlePrepare(time.Now(), args)
	})
	peer.On(hub, "accept", func(_ context.Context, _ string, args paxos.AcceptArgs) (paxos.AcceptReply, error) {
		return r.HandleAccept(time.Now(), args)
	})
	peer.On(hub, "install", func(_ context.Context, _ string, args paxos.InstallArgs) (paxos.AcceptReply, error) {
		return r.HandleInstall(time.Now(), args)
	})
	peer.On(hub, "fetch", func(context.Context, string, struct{}) (paxos.InstallArgs, error) {
		return r.HandleFetch()
	})
}

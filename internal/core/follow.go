package core

import (
	"context"
	"errors"
	"time"

	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/realm"
)

// The least time between two states that followers receive. Each costs a reply to every follower, and the log may grow
// by hundreds of entries per second. With many entry hosts the time is longer, so that a change of the state costs all
// of them together a bounded number of replies per second.
const (
	publishInterval    = 50 * time.Millisecond
	maxPublishInterval = 200 * time.Millisecond // a move of keys takes three publications
	repliesPerSecond   = 2500                   // to all entry hosts, each of which costs its receiver 0.5 ms
)

// publishIntervalFor returns the least time between two states for a number of entry hosts.
func publishIntervalFor(entryHosts int) time.Duration {
	return min(max(publishInterval, time.Duration(entryHosts)*time.Second/repliesPerSecond), maxPublishInterval)
}

// followTimeout is how long a follow request waits for changes before it returns an empty update.
const followTimeout = time.Second

// entryHostTTL is how long after its last report an entry host is still counted.
const entryHostTTL = 3 * time.Second

// FollowRequest asks for the changes of the state since an index of the log.
type FollowRequest struct {
	Since   uint64 `json:"since"`
	Encoded bool   `json:"encoded,omitempty"` // whether the follower reads encoded updates; those of earlier releases don't
	Hosts   uint64 `json:"hosts,omitempty"`   // mark of the list of control hosts that the follower has
	Mirror  bool   `json:"mirror,omitempty"`  // the follower is a control host without a vote, which serves the state to others
}

// FollowReply holds the changes; there are none if LeaderReachable is false.
type FollowReply struct {
	LeaderReachable bool           `json:"in-touch"`          // the responding host holds what the leader had committed lately
	IsReplica       bool           `json:"replica,omitempty"` // a replica of the responding host does
	Leader          string         `json:"leader,omitempty"`  // of the log, as far as the responding host knows
	Members         []Member       `json:"members,omitempty"` // control hosts that accept follow requests, if the follower has another list
	Hosts           uint64         `json:"hosts,omitempty"`   // mark of that list
	Update          *realm.Update  `json:"update,omitempty"`
	Encoded         *EncodedUpdate `json:"encoded,omitempty"` // in place of Update, if the follower reads it
}

// Decode returns the update in either form; the error is that of damaged data.
func (r FollowReply) Decode() (realm.Update, error) {
	switch {
	case r.Encoded != nil:
		return r.Encoded.decode()
	case r.Update != nil:
		return *r.Update, nil
	}
	return realm.Update{}, errNoUpdate
}

var errNoUpdate = errors.New("the reply to a follow call holds no update")

func (h *Host) handleFollow(ctx context.Context, _ string, args FollowRequest) (FollowReply, error) {
	wait := followTimeout
	if args.Mirror {
		wait = mirrorWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if h.isCurrent(time.Now()) {
		h.feed.await(ctx, args.Since)
	}
	now := time.Now()
	reply := FollowReply{LeaderReachable: h.isCurrent(now), IsReplica: h.replicaIsCurrent(now), Leader: h.leaderName(now)}
	hosts := h.controlHosts(now)
	if reply.Hosts = markOf(hosts); reply.Hosts != args.Hosts {
		reply.Members = hosts
	}
	if !reply.LeaderReachable { // the follower turns to another host and would not use an update
		h.workload.countLost(h.hasLeaderContact(now))
		return reply, nil
	}
	if !args.Encoded {
		update := h.feed.wholeSince(args.Since)
		reply.Update = &update
		return reply, nil
	}
	update, err := h.feed.since(args.Since)
	if err != nil {
		return FollowReply{}, err
	}
	h.workload.countReply(update)
	reply.Encoded = &update
	return reply, nil
}

// loadsOf returns the load counts of a service; the caller holds h.mu.
func (h *Host) loadsOf(service string) *keyed.Loads {
	loads := h.loads[service]
	if loads == nil {
		loads = &keyed.Loads{}
		h.loads[service] = loads
	}
	return loads
}

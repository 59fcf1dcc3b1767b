package core

import (
	"context"
	"errors"
	"time"

	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/realm"
)

// publishInterval is the least time between two states that followers receive. Each costs a reply to every follower, and
// the log may grow by hundreds of entries per second.
const publishInterval = 50 * time.Millisecond

// followTimeout is how long a follow request waits for changes before it returns an empty update.
const followTimeout = time.Second

// entryHostTTL is how long after its last report an entry host is still counted.
const entryHostTTL = 3 * time.Second

// FollowRequest asks for the changes of the state since an index of the log.
type FollowRequest struct {
	Since   uint64 `json:"since"`
	Encoded bool   `json:"encoded,omitempty"` // whether the follower reads encoded updates; those of earlier releases don't
}

// FollowReply holds the changes; they may be out of date if LeaderReachable is false.
type FollowReply struct {
	LeaderReachable bool           `json:"in-touch"`
	Members         []Member       `json:"members"` // control hosts that accept follow requests
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
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	if h.hasLeaderContact(time.Now()) {
		h.feed.await(ctx, args.Since)
	}
	now := time.Now()
	reply := FollowReply{LeaderReachable: h.hasLeaderContact(now), Members: h.membersWithZones(now)}
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

// Report holds the counts of an entry host since its last report.
type Report struct {
	Loads     map[string]map[int]int   `json:"loads"` // number of requests by service and bucket of keys
	Latencies map[string]time.Duration `json:"took"`  // service time by upstream id; only upstreams without a queue
}

// ReportReply holds the number of entry hosts, which divide the limits of the deployment among them.
type ReportReply struct {
	OK     bool   `json:"ok"`
	Leader string `json:"leader,omitempty"`
	Hosts  int    `json:"hosts"` // 0 until the leader has counted for entryHostTTL
}

func (h *Host) handleReport(_ context.Context, from string, report Report) (ReportReply, error) {
	now := time.Now()
	status, leads := h.leads(now)
	if !leads {
		return ReportReply{Leader: status.Leader}, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entryHosts[from] = now
	if status.Ballot != h.countBallot {
		h.countBallot, h.countSince = status.Ballot, now
	}
	for name, reportedAt := range h.entryHosts {
		if now.Sub(reportedAt) > entryHostTTL {
			delete(h.entryHosts, name)
		}
	}
	for service, counts := range report.Loads {
		h.loadsOf(service).Add(now, counts)
	}
	for id, latency := range report.Latencies {
		h.serviceTimes.Add(id, latency)
	}
	reply := ReportReply{OK: true}
	if now.Sub(h.countSince) > entryHostTTL {
		reply.Hosts = len(h.entryHosts)
	}
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

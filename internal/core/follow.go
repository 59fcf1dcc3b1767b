package core

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/realm"
)

// followLimit is how long a follower waits for something new before it is told that there is nothing.
const followLimit = time.Second

// callerKept is how long a host that carries traffic counts after its last report.
const callerKept = 3 * time.Second

// FollowRequest asks for what has changed since a position of the log.
type FollowRequest struct {
	Since uint64 `json:"since"`
}

// FollowReply is what has changed. A host that is not in touch with the leader has nothing to say.
type FollowReply struct {
	LeaderReachable bool         `json:"in-touch"`
	Members         []Member     `json:"members"` // control hosts that can be followed
	Update          realm.Update `json:"update"`
}

func (h *Host) handleFollow(ctx context.Context, _ string, args FollowRequest) (FollowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, followLimit)
	defer cancel()
	feed := h.current().feed
	if h.inTouch(time.Now()) {
		feed.Await(ctx, args.Since)
	}
	now := time.Now()
	return FollowReply{LeaderReachable: h.inTouch(now), Members: h.neighbours(now), Update: feed.Since(args.Since)}, nil
}

// Report is what a host that carries traffic has counted since its last report.
type Report struct {
	Loads     map[string]map[int]int   `json:"loads"` // requests by service and part of the keys
	Latencies map[string]time.Duration `json:"took"`  // of a request, by upstreams at which nothing waited
}

// ReportReply tells how many hosts carry traffic, which share what is allowed to all of them.
type ReportReply struct {
	OK     bool   `json:"ok"`
	Leader string `json:"leader,omitempty"`
	Hosts  int    `json:"hosts"` // 0 while the leader does not know yet
}

func (h *Host) handleReport(_ context.Context, from string, report Report) (ReportReply, error) {
	now := time.Now()
	status, leads := h.leads(now)
	if !leads {
		return ReportReply{Leader: status.Leader}, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.callers[from] = now
	if status.Ballot != h.countedIn {
		h.countedIn, h.countedFrom = status.Ballot, now
	}
	for name, at := range h.callers {
		if now.Sub(at) > callerKept {
			delete(h.callers, name)
		}
	}
	for service, counts := range report.Loads {
		h.loadsOf(service).Add(now, counts)
	}
	for id, took := range report.Latencies {
		h.speeds.Add(id, took)
	}
	reported := ReportReply{OK: true}
	if now.Sub(h.countedFrom) > callerKept {
		reported.Hosts = len(h.callers)
	}
	return reported, nil
}

// loadsOf returns the load of a service; the lock is held.
func (h *Host) loadsOf(service string) *keyed.Loads {
	loads := h.loads[service]
	if loads == nil {
		loads = &keyed.Loads{}
		h.loads[service] = loads
	}
	return loads
}

package core

import (
	"context"
	"errors"
	"time"

	"lovagelink.example/lovagelink/pkg/paxos"
)

// resignTimeout bounds the attempt to give up a vote. It is longer than an election, since the leader may stop at the same
// time, and shorter than the time that a process has to stop.
const resignTimeout = 3 * time.Second

// resignWait is how long the leader waits for the removal of a host that stops, which may need another one in its place.
func (h *Host) resignWait() time.Duration { return h.removeAfter() / 2 }

// resignation asks the leader for the removal of a replica, whose host is about to stop, from the members of the log.
type resignation struct {
	ID string `json:"id"`
}

// resignReply is the reply to a resignation: OK from the leader, the name of the leader from any other host.
type resignReply struct {
	OK        bool   `json:"ok"`
	Leader    string `json:"leader,omitempty"`
	KeepsVote bool   `json:"keeps-vote,omitempty"` // the log can't do without this member
}

// Resign gives up the vote of this host, which is about to stop. Otherwise it would keep the vote until the others notice, and
// the loss of another host could take the majority meanwhile. Where the log needs as many members as it has, another host
// takes its place, or this one keeps its vote. From then on this host asks for no vote. Later calls do nothing.
func (h *Host) Resign(ctx context.Context, now time.Time) {
	h.mu.Lock()
	isRepeated := h.resigned
	h.resigned = true
	h.mu.Unlock()
	if isRepeated {
		return
	}
	replica := h.currentReplica().replica
	id := replica.Identify().ID
	replica.Retire()
	members := replica.Status(now).Members
	if !members.Has(id) {
		return
	}
	if len(members) <= h.neededMembers() && len(h.controlHosts(now)) <= len(members) {
		_ = h.logger.Log("event", "vote-kept", "members", len(members), "reason", "the log needs all of its members, and no other host can take the place of this one")
		return
	}
	reply, err := askLeader(ctx, h, "resign", leaderTimes{call: h.resignWait() + callTimeout, all: resignTimeout}, resignation{ID: id},
		func(r resignReply) (bool, string) { return r.OK, r.Leader })
	switch {
	case err != nil:
		_ = h.logger.Log("event", "vote-kept", "members", len(members), "reason", err)
	case reply.KeepsVote:
		_ = h.logger.Log("event", "vote-kept", "members", len(members), "reason", paxos.ErrMemberKept)
	default:
		_ = h.logger.Log("event", "vote-given-up", "members", len(members)-1, "took", time.Since(now).Round(time.Millisecond))
	}
}

func (h *Host) handleResign(ctx context.Context, from string, args resignation) (resignReply, error) {
	now := time.Now()
	status, leads := h.leads(now)
	if !leads {
		return resignReply{Leader: status.Leader}, nil
	}
	h.mu.Lock()
	delete(h.joinRequests, from)
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, h.resignWait())
	defer cancel()
	err := h.currentReplica().replica.RemoveLeaving(ctx, now, args.ID)
	if errors.Is(err, paxos.ErrMemberKept) {
		return resignReply{OK: true, KeepsVote: true}, nil
	}
	return resignReply{OK: err == nil}, err
}

// hasResigned reports whether this host is about to stop.
func (h *Host) hasResigned() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.resigned
}

package core

import (
	"context"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/peer"
)

// A control host that is not a member of the log sends join requests to the control hosts that it knows, until the
// leader has added it.
const (
	joinRequestInterval = 300 * time.Millisecond
	joinRequestTTL      = 2 * time.Second // a join request expires unless the host repeats it
	callTimeout         = 400 * time.Millisecond
)

// joinRequest announces a host that runs a replica and is not a member.
type joinRequest struct {
	Name string `json:"name"`
}

// joinReply names the leader and the members that the replying host knows.
type joinReply struct {
	Leader  string   `json:"leader"`
	Members []string `json:"members"`
}

func (h *Host) handleJoinRequest(_ context.Context, _ string, args joinRequest) (joinReply, error) {
	now := time.Now()
	h.mu.Lock()
	h.joinRequests[args.Name] = now
	h.mu.Unlock()
	return joinReply{Leader: h.Status(now).Leader, Members: h.memberNames(now)}, nil
}

// joinCandidates returns the names of the hosts whose join requests have not expired, and drops the expired ones.
func (h *Host) joinCandidates() []string {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for name, requestedAt := range h.joinRequests {
		if now.Sub(requestedAt) > joinRequestTTL {
			delete(h.joinRequests, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// memberNames returns the names of the members of the log.
func (h *Host) memberNames(now time.Time) []string {
	var names []string
	for _, member := range h.Status(now).Members {
		names = append(names, member.Name)
	}
	return names
}

// requestMembership sends join requests while this host is not a member or has no contact with the leader.
func (h *Host) requestMembership() error {
	ctx := h.tomb.Context(context.Background())
	peers := make(map[string]bool)
	for h.tomb.Alive() {
		now := time.Now()
		if !h.isMember(now) || !h.hasLeaderContact(now) {
			for _, name := range h.seedNames() {
				peers[name] = true
			}
			for _, name := range h.memberNames(now) {
				peers[name] = true
			}
			for name := range peers {
				if name == h.name {
					continue
				}
				reply, err := callWithTimeout[joinReply](ctx, h, name, "hello", joinRequest{Name: h.name})
				if err != nil {
					continue // asked again in the next round
				}
				for _, member := range append(reply.Members, reply.Leader) {
					if member != "" {
						peers[member] = true
					}
				}
			}
		}
		pause.For(ctx, joinRequestInterval)
	}
	return nil
}

func (h *Host) seedNames() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for _, seed := range h.seeds {
		names = append(names, h.site.PeerName(seed))
	}
	return names
}

func (h *Host) isMember(now time.Time) bool {
	return slices.Contains(h.memberNames(now), h.name)
}

func callWithTimeout[R any](ctx context.Context, h *Host, host, method string, args any) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peer.Call[R](ctx, h.endpoint, host, method, args)
}

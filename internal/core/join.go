package core

import (
	"context"
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
	Zone string `json:"zone,omitempty"`
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
	if args.Zone != "" {
		h.zones[args.Name] = args.Zone
	}
	h.mu.Unlock()
	return joinReply{Leader: h.leaderName(now), Members: h.memberNames(now)}, nil
}

// memberNames returns the names of the members of the log.
func (h *Host) memberNames(now time.Time) []string {
	var names []string
	for _, member := range h.Status(now).Members {
		names = append(names, member.Name)
	}
	return names
}

// requestMembership sends join requests while this host has no contact with the leader.
func (h *Host) requestMembership() error {
	ctx := h.tomb.Context(context.Background())
	peers := make(map[string]bool)
	for h.tomb.Alive() {
		now := time.Now()
		if !h.hasLeaderContact(now) && !h.hasResigned() { // a host that mirrors the state asks for a vote when it announces itself
			for _, name := range h.seedNames() {
				peers[name] = true
			}
			for _, member := range h.controlHosts(now) {
				peers[member.Name] = true
			}
			for name := range peers {
				if name == h.name {
					continue
				}
				reply, err := callWithTimeout[joinReply](ctx, h, name, "hello", joinRequest{Name: h.name, Zone: h.site.Zone})
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

func callWithTimeout[R any](ctx context.Context, h *Host, host, method string, args any) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peer.Call[R](ctx, h.endpoint, host, method, args)
}

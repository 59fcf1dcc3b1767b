package core

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/realm"
)

// A control host without a vote in the log follows one that has a vote, as entry hosts do, and serves heartbeats, the
// operator and entry hosts like any other. The leader sends each entry of the log to four hosts that way, however many
// control hosts there are.
const (
	// mirrorWait is how long the followed host waits for changes before it responds. It is shorter than for an entry
	// host, since others rely on this host's knowledge that the leader is reachable.
	mirrorWait = 150 * time.Millisecond
	// mirrorTimeout is how long nothing may arrive of the response, and for how long after its request this host counts as in
	// contact.
	mirrorTimeout       = 700 * time.Millisecond
	mirrorRetryInterval = 50 * time.Millisecond
	mirrorCheckInterval = 100 * time.Millisecond // between checks whether the replica of this host is in contact itself
)

// mirror is a copy of the state that a host without a vote keeps.
type mirror struct {
	store *realm.Store

	mu        sync.Mutex
	contactAt time.Time // when the request was sent to which a host with a vote last responded that it is current
	leader    string    // leader of the log, according to that host
}

func newMirror() *mirror { return &mirror{store: realm.NewStore()} }

// recordContact records that a host with a vote has responded to a request of sentAt that it is current.
func (m *mirror) recordContact(sentAt time.Time, leader string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contactAt, m.leader = sentAt, leader
}

// contact returns the leader of the log, and whether a host with a vote was in contact with it lately.
func (m *mirror) contact(now time.Time) (leader string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader, !m.contactAt.IsZero() && now.Sub(m.contactAt) < mirrorTimeout
}

// mirrorState follows a control host with a vote whenever the replica of this host has no contact with the leader.
func (h *Host) mirrorState() error {
	ctx := h.tomb.Context(context.Background())
	hash := fnv.New32a()
	hash.Write([]byte(h.name))
	sources := NewSources(h.site.Zone, int(hash.Sum32()%97), h.seedNames())
	isFollowing := false
	for h.tomb.Alive() {
		now := time.Now()
		if h.replicaHasContact(now) {
			isFollowing = false
			pause.For(ctx, mirrorCheckInterval)
			continue
		}
		for _, member := range h.controlHosts(now) {
			sources.Add(member)
		}
		source := sources.Pick(now)
		if err := h.mirrorFrom(ctx, source); err != nil {
			sources.MarkFailed(time.Now(), source)
			pause.For(ctx, mirrorRetryInterval)
			continue
		}
		if !isFollowing {
			isFollowing = true
			_ = h.logger.Log("event", "mirrors", "source", source, "index", h.mirror.store.Index())
		}
	}
	return nil
}

// mirrorFrom asks a host for the changes of the state and applies them.
func (h *Host) mirrorFrom(ctx context.Context, source string) error {
	if source == h.name {
		return ErrUnavailable
	}
	// What the response says may have been so since the request; the response may be long on its way.
	sentAt := time.Now()
	request := FollowRequest{Since: h.mirror.store.Index(), Encoded: true, Mirror: true}
	reply, err := peer.CallWhileReceiving[FollowReply](ctx, h.endpoint, source, "follow", request, mirrorTimeout)
	if err != nil {
		return err
	}
	if !reply.LeaderReachable || !reply.IsReplica {
		return ErrUnavailable
	}
	update, err := reply.Decode()
	if err != nil {
		return err
	}
	if err := h.mirror.store.ApplyUpdate(update); err != nil {
		request.Since, sentAt = 0, time.Now()
		if reply, err = peer.CallWhileReceiving[FollowReply](ctx, h.endpoint, source, "follow", request, mirrorTimeout); err != nil {
			return err
		}
		if update, err = reply.Decode(); err != nil {
			return err
		}
		if err := h.mirror.store.ApplyUpdate(update); err != nil {
			return err
		}
	}
	h.mirror.recordContact(sentAt, reply.Leader)
	return nil
}

// newestStore returns the store with the newest state: that of the replica or the mirrored one.
func (h *Host) newestStore() *realm.Store {
	store := h.currentReplica().store
	if h.mirror.store.Index() > store.Index() {
		return h.mirror.store
	}
	return store
}

// leaderName returns the leader of the log as far as this host knows, or an empty name.
func (h *Host) leaderName(now time.Time) string {
	status := h.Status(now)
	if leader, ok := h.mirror.contact(now); ok && !h.replicaHasContact(now) {
		return leader
	}
	return status.Leader
}

package core

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"gopkg.in/tomb.v2"

	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/clock"
	"lovagelink.example/lovagelink/internal/ctrl"
	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/quota"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/site"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// ErrUnavailable is returned by a host that can't reach the leader; another control host may be able to handle the
// call.
var ErrUnavailable = errors.New("this host has no contact with the leader of the control log")

// UpstreamClient sends upstreams the calls that grant and release keys.
type UpstreamClient interface {
	Grant(ctx context.Context, to calls.Target, grant calls.Grant) error
	Release(ctx context.Context, to calls.Target, keys realm.KeyRange, token uint64) (handover string, err error)
}

// Host is a control host.
type Host struct {
	site      site.Host
	name      string // name of this host in the log and in calls between hosts, which is its address there
	endpoint  *peer.Endpoint
	newClient func() UpstreamClient // returns a client without connections; called once per tenure as leader
	suspends  *clock.SuspendDetector
	logger    log.Logger
	tomb      tomb.Tomb
	workload  workload
	feed      *feed
	mirror    *mirror

	quotaMu sync.Mutex
	quotas  *quota.Book[realm.Instance]

	mu           sync.Mutex
	seeds        []netip.AddrPort
	replicaStore *replicaStore
	joinRequests map[string]time.Time // time of the last join request, by name of the host that wants to be a member
	heartbeats   *heartbeats
	zones        map[string]string           // availability zone by name of the control host
	understood   map[feature]map[string]bool // whether a control host understands a feature, by name
	entryHosts   map[string]time.Time        // time of the last report, by name of the entry host
	announced    map[string]time.Time        // time of the last announcement, by name of the control host
	hostList     hostList
	reports      Report                     // of entry hosts, to be forwarded to the leader
	configOrders map[uint64]*configOrder    // by version, while this host leads
	resigned     bool                       // this host is about to stop, and takes no vote
	limits       map[realm.Instance]float64 // reported limits that are not in the log yet, in requests per second
	loads        map[string]*keyed.Loads
	serviceTimes *keyed.ServiceTimes

	countBallot paxos.Ballot // the tenure in which entryHosts are counted
	countSince  time.Time
}

// New returns a control host that has not started.
func New(now time.Time, host site.Host, endpoint *peer.Endpoint, newClient func() UpstreamClient, suspends *clock.SuspendDetector, logger log.Logger) (*Host, error) {
	h := &Host{
		site: host, seeds: host.Seeds, name: host.PeerName(host.Control), endpoint: endpoint, newClient: newClient, suspends: suspends, logger: logger,
		feed: newFeed(), mirror: newMirror(), quotas: quota.NewBook[realm.Instance](), announced: make(map[string]time.Time), understood: newFeatures(host.PeerName(host.Control)), joinRequests: make(map[string]time.Time), heartbeats: newHeartbeats(),
		zones: map[string]string{host.PeerName(host.Control): host.Zone}, entryHosts: make(map[string]time.Time), configOrders: make(map[uint64]*configOrder), limits: make(map[realm.Instance]float64), loads: make(map[string]*keyed.Loads), serviceTimes: keyed.NewServiceTimes(),
	}
	if err := h.open(now); err != nil {
		return nil, err
	}
	ctrl.ServeReplica(endpoint, func() ctrl.Acceptor { return h.currentReplica().replica })
	peer.HandleTyped(endpoint, "order", h.handlePropose)
	peer.HandleTyped(endpoint, "current", h.handleCurrent)
	peer.HandleTyped(endpoint, "heard", h.handleHeartbeats)
	peer.HandleTyped(endpoint, "hello", h.handleJoinRequest)
	peer.HandleTyped(endpoint, "zone", h.handleZone)
	peer.HandleTyped(endpoint, "resign", h.handleResign)
	offerFeatures(endpoint)
	peer.HandleTyped(endpoint, "announce", h.handleAnnouncement)
	peer.HandleTyped(endpoint, "leave", h.handleLeave)
	peer.HandleTyped(endpoint, "leavers", h.handleLeavers)
	peer.HandleTyped(endpoint, "follow", h.handleFollow)
	peer.HandleTyped(endpoint, "spend", h.handleSpend)
	peer.HandleTyped(endpoint, "report", h.handleReport)
	return h, nil
}

// Start starts the replica and the tasks of this host; while it leads, it grants keys.
func (h *Host) Start() {
	h.currentReplica().replica.Start()
	h.tomb.Go(h.reopenOnFailure)
	h.tomb.Go(h.requestMembership)
	h.tomb.Go(h.learnZones)
	h.tomb.Go(h.forwardHeartbeats)
	h.tomb.Go(h.runLeader)
	h.tomb.Go(h.logWorkload)
	h.tomb.Go(h.publishUpdates)
	h.tomb.Go(h.mirrorState)
	h.tomb.Go(h.announce)
}

// Stop gives up the vote of this host, ends all tasks and closes the replica.
func (h *Host) Stop() {
	h.Resign(context.Background(), time.Now())
	h.tomb.Kill(nil)
	_ = h.tomb.Wait()
	_ = h.currentReplica().replica.Stop()
}

// Reload applies changed settings: join requests go to the control hosts that the new seeds name.
func (h *Host) Reload(host site.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds = host.Seeds
}

// leads returns the status of the replica and reports whether this host leads the log. A host whose process has just
// been suspended can't tell how old its lease is, and doesn't count as the leader.
func (h *Host) leads(now time.Time) (paxos.Status, bool) {
	status := h.currentReplica().replica.Status(now)
	return status, status.Leading && h.suspends.Reliable(now, leaderContactTimeout)
}

// leaderContactTimeout is how long after the leader's last message a host counts as in contact with it: the leader's
// lease and a few heartbeats.
const leaderContactTimeout = time.Second

// hasLeaderContact reports whether the leader can learn of what this host receives: its replica has heard from a leader or
// a candidate lately, or it mirrors the state of a host that has. Its own state may be older.
func (h *Host) hasLeaderContact(now time.Time) bool {
	if h.replicaHasContact(now) {
		return true
	}
	_, ok := h.mirror.contact(now)
	return ok
}

// replicaHasContact reports whether the replica of this host leads, or the leader contacted it lately.
func (h *Host) replicaHasContact(now time.Time) bool {
	status, leads := h.leads(now)
	return leads || status.Leader != "" && status.Leader != h.name && now.Sub(status.LastContact) < leaderContactTimeout && status.Commit > 0
}

// isCurrent reports whether this host held all that the leader had committed within the last leaderContactTimeout: its
// replica leads or follows closely, or it mirrors the state of a host that does. A replica that has only promised a
// candidate, or that receives a long tail of the log, is in contact and not current.
func (h *Host) isCurrent(now time.Time) bool {
	if h.replicaIsCurrent(now) {
		return true
	}
	_, ok := h.mirror.contact(now)
	return ok
}

// replicaIsCurrent is isCurrent for the replica of this host alone.
func (h *Host) replicaIsCurrent(now time.Time) bool {
	status, leads := h.leads(now)
	if leads {
		return true
	}
	return !status.CurrentAt.IsZero() && now.Sub(status.CurrentAt) < leaderContactTimeout && h.suspends.Reliable(now, leaderContactTimeout)
}

// Status returns the status of the replica, for the metrics and the status page.
func (h *Host) Status(now time.Time) paxos.Status {
	return h.currentReplica().replica.Status(now)
}

// Read calls read with the state of the replica, which read must neither keep nor change. What a leader decides is based
// on that state.
func (h *Host) Read(read func(*realm.State)) {
	h.currentReplica().store.Read(read)
}

// readNewest calls read with the newest state that this host has, which read must neither keep nor change.
func (h *Host) readNewest(read func(*realm.State)) {
	h.newestStore().Read(read)
}

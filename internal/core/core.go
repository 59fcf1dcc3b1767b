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
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/site"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// ErrUnavailable says that another host may be able to answer a call.
var ErrUnavailable = errors.New("this host has no contact with the leader of the control log")

// UpstreamClient are the calls to upstreams about keys.
type UpstreamClient interface {
	Grant(ctx context.Context, to calls.Target, grant calls.Grant) error
	Release(ctx context.Context, to calls.Target, keys realm.KeyRange, fence uint64) (handover string, err error)
}

// Host is one control host.
type Host struct {
	site   site.Host
	name   string // among other hosts: its address there
	hub    *peer.Endpoint
	orders func() UpstreamClient // without connections, for each leadership
	guard  *clock.SuspendDetector
	logger log.Logger
	tomb   tomb.Tomb

	mu      sync.Mutex
	seeds   []netip.AddrPort
	seat    *seat
	guests  map[string]time.Time // hosts that have asked to become replicas, by when they last did
	hearing *hearing
	zones   map[string]string    // of control hosts, by name
	callers map[string]time.Time // hosts that carry traffic, by when they last reported
	loads   map[string]*keyed.Loads
	speeds  *keyed.ServiceTimes

	countedIn   paxos.Ballot // the leadership in which callers are counted
	countedFrom time.Time
}

// New returns a control host that has not started.
func New(now time.Time, host site.Host, hub *peer.Endpoint, orders func() UpstreamClient, guard *clock.SuspendDetector, logger log.Logger) (*Host, error) {
	h := &Host{
		site: host, seeds: host.Seeds, name: host.PeerName(host.Control), hub: hub, orders: orders, guard: guard, logger: logger,
		guests: make(map[string]time.Time), hearing: newHearing(),
		zones: map[string]string{host.PeerName(host.Control): host.Zone}, callers: make(map[string]time.Time), loads: make(map[string]*keyed.Loads), speeds: keyed.NewServiceTimes(),
	}
	if err := h.open(now); err != nil {
		return nil, err
	}
	ctrl.ServeReplica(hub, func() ctrl.Acceptor { return h.current().replica })
	peer.HandleTyped(hub, "order", h.handleOrder)
	peer.HandleTyped(hub, "current", h.handleCurrent)
	peer.HandleTyped(hub, "heard", h.handleHeard)
	peer.HandleTyped(hub, "hello", h.handleHello)
	peer.HandleTyped(hub, "zone", h.handleZone)
	peer.HandleTyped(hub, "follow", h.handleFollow)
	peer.HandleTyped(hub, "report", h.handleReport)
	return h, nil
}

// Start begins to vote, to answer and, while leading, to grant keys.
func (h *Host) Start() {
	h.current().replica.Start()
	h.tomb.Go(h.attend)
	h.tomb.Go(h.greet)
	h.tomb.Go(h.survey)
	h.tomb.Go(h.passOn)
	h.tomb.Go(h.lead)
}

// Stop ends all tasks and closes the replica.
func (h *Host) Stop() {
	h.tomb.Kill(nil)
	_ = h.tomb.Wait()
	_ = h.current().replica.Stop()
}

// Reload takes in changed settings: this host greets the control hosts that the seeds name.
func (h *Host) Reload(host site.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds = host.Seeds
}

// leads reports whether this host leads the log at present, and under which ballot. A host that has just been
// suspended can't tell how old its lease is.
func (h *Host) leads(now time.Time) (paxos.Status, bool) {
	status := h.current().replica.Status(now)
	return status, status.Leading && h.guard.Reliable(now, timing().Lease)
}

// touchPeriod is how long a host without a word from the leader counts as in touch with it: a few heartbeats more than
// the leader's lease.
const touchPeriod = time.Second

// inTouch reports whether what this host knows is recent.
func (h *Host) inTouch(now time.Time) bool {
	status, leads := h.leads(now)
	return leads || status.Leader != "" && status.Leader != h.name && now.Sub(status.LastContact) < touchPeriod && status.Commit > 0
}

// Status tells what this host knows of the log, for the metrics and the status page.
func (h *Host) Status(now time.Time) paxos.Status {
	return h.current().replica.Status(now)
}

// Read calls use with the present state, which it must neither keep nor change.
func (h *Host) Read(use func(*realm.State)) {
	h.current().feed.Read(use)
}

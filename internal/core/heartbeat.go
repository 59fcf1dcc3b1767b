package core

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// Heartbeats that a host has received are forwarded to the leader in batches.
const (
	forwardInterval  = 300 * time.Millisecond
	missedHeartbeats = 3 // missed heartbeats after which an upstream counts as lost
	lostSlack        = time.Second

	// forgetAfter is how long an upstream that is lost or drains sends no heartbeat before it counts as gone, and how
	// long an upstream that has gone stays registered, since late heartbeats of it may arrive until then.
	forgetAfter = 30 * time.Second
)

// heartbeats records the heartbeats of each instance of an upstream.
type heartbeats struct {
	last       map[realm.Instance]time.Time
	sequence   map[realm.Instance]int64
	unreported map[realm.Instance]bool // instances with a heartbeat that was not reported to the leader yet
}

func newHeartbeats() *heartbeats {
	return &heartbeats{
		last: make(map[realm.Instance]time.Time), sequence: make(map[realm.Instance]int64), unreported: make(map[realm.Instance]bool),
	}
}

// record records a heartbeat; it reports false if a heartbeat with a higher sequence number has arrived before.
func (b *heartbeats) record(now time.Time, instance realm.Instance, sequence int64) bool {
	if sequence < b.sequence[instance] {
		return false
	}
	b.sequence[instance] = sequence
	b.last[instance] = now
	b.unreported[instance] = true
	return true
}

// takeUnreported returns the instances with a heartbeat that was not reported to the leader yet. From then on they count
// as reported, so that a heartbeat which arrives while the report is on its way is reported in the next one.
func (b *heartbeats) takeUnreported() []realm.Instance {
	instances := slices.Collect(maps.Keys(b.unreported))
	clear(b.unreported)
	return instances
}

// returnUnreported records that a report has failed.
func (b *heartbeats) returnUnreported(instances []realm.Instance) {
	for _, instance := range instances {
		b.unreported[instance] = true
	}
}

// prune forgets instances that have sent nothing for a time and are no longer registered. Each start of an upstream is
// another instance.
func (b *heartbeats) prune(now time.Time, isRegistered func(realm.Instance) bool) {
	for instance, last := range b.last {
		if now.Sub(last) > 2*forgetAfter && !isRegistered(instance) {
			delete(b.last, instance)
			delete(b.sequence, instance)
			delete(b.unreported, instance)
		}
	}
}

// Heartbeat processes a heartbeat of an upstream. A heartbeat that registers an upstream or reports that it drains is
// acknowledged only once the log holds the change, so that every later leader and every host that follows a replica
// learns of it.
func (h *Host) Heartbeat(ctx context.Context, now time.Time, upstream realm.Upstream, sequence int64) error {
	if !h.hasLeaderContact(now) {
		return ErrUnavailable
	}
	if err := h.checkHeartbeat(now, upstream); err != nil {
		return err
	}
	if !h.mayRegister(upstream) {
		_ = h.logger.Log("event", "heartbeat", "upstream", upstream.ID, "born", upstream.StartMillis, "outcome", "ignored",
			"reason", "the configuration has no service of this name", "service", upstream.Service)
		return nil // a later heartbeat registers the upstream if its service is added to the configuration
	}
	h.mu.Lock()
	isNewest := h.heartbeats.record(now, upstream.Instance, sequence)
	h.mu.Unlock()
	if !isNewest {
		return nil
	}
	var registered *realm.Upstream
	h.readNewest(func(s *realm.State) {
		if u := s.Upstreams[upstream.ID]; u != nil {
			copied := *u
			registered = &copied
		}
	})
	switch {
	case registered != nil && upstream.StartMillis < registered.StartMillis:
		_ = h.logger.Log("event", "heartbeat", "upstream", upstream.ID, "born", upstream.StartMillis, "outcome", "ignored",
			"reason", "a later instance is registered", "later", registered.StartMillis)
		return nil
	case registered == nil || upstream.StartMillis > registered.StartMillis || registered.Phase == realm.Lost && upstream.Phase == realm.Ready:
		_ = h.logger.Log("event", "upstream-joins", "upstream", upstream.ID, "born", upstream.StartMillis, "service", upstream.Service,
			"address", upstream.Address, "phase", upstream.Phase)
		return h.proposeViaLeader(ctx, realm.Command{Join: []realm.Upstream{upstream}})
	case upstream.Phase == realm.Draining && registered.Phase != realm.Draining && registered.Phase != realm.Gone:
		_ = h.logger.Log("event", "upstream-drains", "upstream", upstream.ID, "born", upstream.StartMillis)
		return h.proposeViaLeader(ctx, realm.Command{SetPhase: []realm.PhaseChange{{Instance: upstream.Instance, Phase: realm.Draining}}})
	}
	return nil
}

// checkHeartbeat refuses the address of a control host, which no upstream can have.
func (h *Host) checkHeartbeat(now time.Time, upstream realm.Upstream) error {
	for _, member := range h.controlHosts(now) {
		peer, err := netip.ParseAddrPort(member.Name)
		if err == nil && upstream.Address.Addr() == peer.Addr() && (upstream.Address.Port() == peer.Port() || upstream.Address.Port() == h.site.Control.Port()) {
			return trace.BadParameter("address: %s is that of a control host", upstream.Address)
		}
	}
	return nil
}

// mayRegister reports whether heartbeats of an upstream are processed: the upstream is registered already, the
// configuration has its service, or there is no configuration yet. A heartbeat for any other service may come from
// anybody, and must not replace the upstream that is registered at the same address.
func (h *Host) mayRegister(upstream realm.Upstream) (may bool) {
	h.readNewest(func(s *realm.State) {
		may = s.Upstreams[upstream.ID] != nil || s.Config == nil || s.Config.ServiceNamed(upstream.Service) != nil
	})
	return may
}

// Deregister records that an upstream has gone; it returns once the log holds the change.
func (h *Host) Deregister(ctx context.Context, now time.Time, id string) error {
	if !h.hasLeaderContact(now) {
		return ErrUnavailable
	}
	_, err := askLeader(ctx, h, "leave", usualTimes, leaveRequest{ID: id}, readProposeReply)
	return err
}

// leaveRequest asks the leader to record that an upstream has gone. The leader looks it up, since another host may not
// have learned yet that it has joined.
type leaveRequest struct {
	ID string `json:"id"`
}

func (h *Host) handleLeave(ctx context.Context, _ string, request leaveRequest) (proposeReply, error) {
	now := time.Now()
	status, leads := h.leads(now)
	if !leads {
		return proposeReply{Leader: status.Leader}, nil
	}
	instance, isPresent := realm.Instance{ID: request.ID}, false
	h.Read(func(s *realm.State) {
		if u := s.Upstreams[request.ID]; u != nil {
			instance, isPresent = u.Instance, u.Phase != realm.Gone
		}
	})
	if !isPresent {
		return proposeReply{OK: true}, nil
	}
	return proposeReply{OK: true}, h.propose(ctx, paxos.Ballot{}, realm.Command{SetPhase: []realm.PhaseChange{{Instance: instance, Phase: realm.Gone}}})
}

// LeaversReport lists upstreams that have said in a response to an entry host that they are leaving.
type LeaversReport struct {
	Instances []realm.Instance `json:"lives"`
}

// handleLeavers records in the log that upstreams are draining, so that their keys move and all entry hosts learn of it.
func (h *Host) handleLeavers(ctx context.Context, from string, report LeaversReport) (bool, error) {
	if !h.hasLeaderContact(time.Now()) {
		return false, ErrUnavailable
	}
	var command realm.Command
	h.readNewest(func(s *realm.State) {
		for _, instance := range report.Instances {
			if u := s.Upstreams[instance.ID]; u != nil && u.Instance == instance && (u.Phase == realm.Ready || u.Phase == realm.Lost) {
				command.SetPhase = append(command.SetPhase, realm.PhaseChange{Instance: instance, Phase: realm.Draining})
			}
		}
	})
	for _, change := range command.SetPhase {
		_ = h.logger.Log("event", "upstream-drains", "upstream", change.ID, "born", change.StartMillis, "reason", "it has told an entry host", "entry", from)
	}
	if len(command.SetPhase) == 0 {
		return true, nil
	}
	return true, h.proposeViaLeader(ctx, command)
}

// heartbeatReport lists the instances whose heartbeats a host has received since its last report to the leader, and what
// entry hosts have reported to it.
type heartbeatReport struct {
	Instances []realm.Instance `json:"lives"`
	Report
}

func (h *Host) handleHeartbeats(_ context.Context, _ string, args heartbeatReport) (bool, error) {
	now := time.Now()
	h.recordHeartbeats(now, args.Instances...)
	if len(args.EntryHosts) > 0 {
		h.takeReport(now, args.Report)
	}
	return true, nil
}

// recordHeartbeats records heartbeats that another host has just received.
func (h *Host) recordHeartbeats(now time.Time, instances ...realm.Instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, instance := range instances {
		h.heartbeats.last[instance] = now
	}
}

// forwardHeartbeats reports to the leader which upstreams have sent heartbeats to this host.
func (h *Host) forwardHeartbeats() error {
	ctx := h.tomb.Context(context.Background())
	prunedAt := time.Now()
	for h.tomb.Alive() {
		pause.For(ctx, forwardInterval)
		leader := h.leaderName(time.Now())
		if leader == "" {
			continue
		}
		if now := time.Now(); now.Sub(prunedAt) > forgetAfter {
			prunedAt = now
			h.pruneHeartbeats(now)
		}
		h.mu.Lock()
		instances := h.heartbeats.takeUnreported()
		reports := h.reports
		h.reports = Report{}
		h.mu.Unlock()
		if len(instances) == 0 && len(reports.EntryHosts) == 0 {
			continue
		}
		if leader == h.name {
			h.takeReport(time.Now(), reports)
		} else {
			if _, err := callWithTimeout[bool](ctx, h, leader, "heard", heartbeatReport{Instances: instances, Report: reports}); err != nil {
				h.mu.Lock()
				h.heartbeats.returnUnreported(instances)
				h.reports.add(reports)
				h.mu.Unlock()
			}
		}
	}
	return nil
}

// pruneHeartbeats forgets the heartbeats of instances that ended long ago.
func (h *Host) pruneHeartbeats(now time.Time) {
	registered := make(map[realm.Instance]bool)
	h.readNewest(func(s *realm.State) {
		for _, u := range s.Upstreams {
			registered[u.Instance] = true
		}
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heartbeats.prune(now, func(instance realm.Instance) bool { return registered[instance] })
}

// lastHeartbeat returns the time of the last heartbeat of an instance, or since if that is later.
func (h *Host) lastHeartbeat(instance realm.Instance, since time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if last := h.heartbeats.last[instance]; last.After(since) {
		return last
	}
	return since
}

// lostAfter returns how long an upstream may send no heartbeat before it counts as lost.
func (h *Host) lostAfter() time.Duration {
	return missedHeartbeats*h.site.Bounds.HeartbeatInterval + lostSlack
}

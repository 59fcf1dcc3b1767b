package ctrl

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/paxos"
	"lovagelink.example/lovagelink/pkg/walog"
)

// reachableTTL is how long an upstream counts as reachable after its dispatcher has reported it as reachable.
const reachableTTL = time.Second

// Controller assigns host leases, dispatchers of upstreams and owners of slots while its replica is the leader.
// On a replica that is not the leader, it only replies with the name of the leader.
type Controller struct {
	name    string
	replica *paxos.Replica
	store   *state.Store
	tomb    tomb.Tomb

	mu                    sync.Mutex
	ballot                paxos.Ballot
	leases                *leases
	hosts                 map[string]hostReport
	joining               map[string]state.Announced
	reachedAt             map[string]time.Time
	reportedDraining      map[string]bool
	reportedDrained       map[string]bool
	loads                 *loads
	balancedAt            time.Time // when slots were last balanced
	dispatchersBalancedAt time.Time // when the dispatchers were last checked for balance
	slotsPlannedAt        time.Time // when planSlots last ran; slotsPlannedIndex is the index of the state at that time
	slotsPlannedIndex     uint64
	unassignedSince       map[string]time.Time // by service: when none of its slots was first seen to have had an owner
}

// hostReport holds the contents of a host's latest heartbeat.
type hostReport struct {
	zone        string
	incarnation string
	index       uint64
	leaving     bool
}

// NewController opens the replica of this host and registers the control plane's RPC handlers on the endpoint.
func NewController(now time.Time, config paxos.Config, endpoint *peer.Endpoint, store *state.Store, logOptions ...walog.Option) (*Controller, error) {
	replica, err := paxos.New(now, config, NewTransport(endpoint, config.Timing), store, logOptions...)
	if err != nil {
		return nil, err
	}
	c := &Controller{name: config.Name, replica: replica, store: store}
	c.reset(now)
	ServeReplica(endpoint, func() Acceptor { return replica })
	peer.HandleTyped(endpoint, "beat", c.handleHeartbeat)
	peer.HandleTyped(endpoint, "propose", c.handlePropose)
	peer.HandleTyped(endpoint, "lost", c.handleLost)
	peer.HandleTyped(endpoint, "released", c.handleReleased)
	peer.HandleTyped(endpoint, "progress", c.handleProgress)
	return c, nil
}

// Start starts the replica and the loop that plans changes while the replica is the leader.
func (c *Controller) Start() {
	c.replica.Start()
	c.tomb.Go(c.run)
}

// Stop stops planning and closes the replica.
func (c *Controller) Stop() {
	c.tomb.Kill(nil)
	_ = c.tomb.Wait()
	_ = c.replica.Stop()
}

// Status returns the status of the replica.
func (c *Controller) Status(now time.Time) paxos.Status {
	return c.replica.Status(now)
}

// ReplicaStates returns the states of the log's replicas as this replica sees them.
func (c *Controller) ReplicaStates(now time.Time) map[string]paxos.ReplicaState {
	return c.replica.ReplicaStates(now)
}

// Done returns a channel that closes when the replica has ended, after Stop or after a disk failure.
func (c *Controller) Done() <-chan struct{} {
	return c.replica.Done()
}

// Err returns the error that ended the replica.
func (c *Controller) Err() error {
	return c.replica.Err()
}

// reset discards everything that was learned from heartbeats. The caller holds c.mu, except while c is still being
// constructed.
func (c *Controller) reset(now time.Time) {
	incarnations := make(map[string]string)
	c.store.Read(func(s *state.State) {
		for name, host := range s.Hosts {
			if host.Up {
				incarnations[name] = host.Incarnation
			}
		}
	})
	c.leases = newLeases(now, incarnations)
	c.hosts = make(map[string]hostReport)
	c.joining = make(map[string]state.Announced)
	c.reachedAt = make(map[string]time.Time)
	c.reportedDraining = make(map[string]bool)
	c.reportedDrained = make(map[string]bool)
	c.loads = newLoads()
	c.balancedAt = now
	c.dispatchersBalancedAt = now
	c.slotsPlannedAt = time.Time{}
	c.unassignedSince = make(map[string]time.Time)
}

// leading reports whether this replica is the leader. At the start of a new tenure it resets the controller, which
// assumes that the previous leader has granted a lease to each host that is up.
func (c *Controller) leading(now time.Time) (paxos.Status, bool) {
	status := c.replica.Status(now)
	if !status.Leading {
		return status, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ballot != status.Ballot {
		c.ballot = status.Ballot
		c.reset(now)
	}
	return status, true
}

func (c *Controller) run() error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		changed := c.store.Changed()
		select {
		case <-c.tomb.Dying():
			return nil
		case <-ticker.C:
		case <-changed:
		}
		now := time.Now()
		if _, ok := c.leading(now); !ok {
			continue
		}
		for _, command := range c.plan(now) {
			if _, _, err := c.propose(command); err != nil {
				break
			}
		}
	}
}

func (c *Controller) propose(command state.Command) ([]byte, uint64, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(c.tomb.Context(context.Background()), watchTimeout)
	defer cancel()
	return c.replica.Propose(ctx, data)
}

func (c *Controller) handleHeartbeat(_ context.Context, from string, heartbeat Heartbeat) (HeartbeatReply, error) {
	now := time.Now()
	status, ok := c.leading(now)
	if !ok {
		return HeartbeatReply{Leader: status.Leader, Index: c.store.Index()}, nil
	}
	isUp := false
	c.store.Read(func(s *state.State) {
		host := s.Hosts[from]
		isUp = host != nil && host.Up && host.Incarnation == heartbeat.Incarnation
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordHeartbeat(now, from, heartbeat)
	granted := isUp && c.leases.renew(now, from, heartbeat.Incarnation)
	return HeartbeatReply{LeaseGranted: granted, Leader: c.name, Index: c.store.Index()}, nil
}

// recordHeartbeat stores the contents of a heartbeat for the next plan. The caller holds c.mu.
func (c *Controller) recordHeartbeat(now time.Time, from string, heartbeat Heartbeat) {
	c.hosts[from] = hostReport{
		zone: heartbeat.Zone, incarnation: heartbeat.Incarnation, index: heartbeat.AppliedIndex, leaving: heartbeat.Leaving,
	}
	for _, announced := range heartbeat.Announced {
		c.joining[announced.ID] = announced
	}
	for _, id := range heartbeat.ReachableUpstreams {
		c.reachedAt[id] = now
	}
	for _, id := range heartbeat.DrainingUpstreams {
		c.reportedDraining[id] = true
	}
	for _, id := range heartbeat.DrainedUpstreams {
		c.reportedDrained[id] = true
	}
	c.loads.record(now, heartbeat.Loads)
}

func (c *Controller) handlePropose(_ context.Context, _ string, args Proposal) (ProposalReply, error) {
	status, ok := c.leading(time.Now())
	if !ok {
		return ProposalReply{Leader: status.Leader}, nil
	}
	result, index, err := c.propose(args.Command)
	if err != nil {
		return ProposalReply{}, err
	}
	return ProposalReply{OK: true, Index: index, Result: result}, nil
}

func (c *Controller) handleLost(_ context.Context, _ string, report LostReport) (ProposalReply, error) {
	now := time.Now()
	status, ok := c.leading(now)
	if !ok {
		return ProposalReply{Leader: status.Leader}, nil
	}
	_, index, err := c.propose(state.Command{MarkLost: &state.MarkLost{
		Upstream:        report.Upstream,
		ExpectedEpoch:   report.Epoch,
		SlotAssignments: c.reassignLost(now, report.Upstream),
	}})
	return ProposalReply{OK: err == nil, Index: index}, err
}

func (c *Controller) handleReleased(_ context.Context, _ string, released []ReleasedSlot) (ProposalReply, error) {
	now := time.Now()
	status, ok := c.leading(now)
	if !ok {
		return ProposalReply{Leader: status.Leader}, nil
	}
	_, index, err := c.propose(state.Command{SlotAssignments: c.assignReleased(now, released)})
	return ProposalReply{OK: err == nil, Index: index}, err
}

func (c *Controller) handleProgress(context.Context, string, struct{}) (Progress, error) {
	status, ok := c.leading(time.Now())
	if !ok {
		return Progress{Leader: status.Leader}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := make(map[string]uint64, len(c.hosts))
	for name, report := range c.hosts {
		hosts[name] = report.index
	}
	return Progress{Leader: c.name, Hosts: hosts}, nil
}

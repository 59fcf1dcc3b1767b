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

// reachPeriod is how long a dispatcher's word that it reaches an upstream holds.
const reachPeriod = time.Second

// Controller carries out the duties of the leading replica: leases of hosts, dispatchers of upstreams,
// owners of slots. On a replica that does not lead it only points to the one that does.
type Controller struct {
	name    string
	replica *paxos.Replica
	feed    *state.Store
	tomb    tomb.Tomb

	mu       sync.Mutex
	ballot   paxos.Ballot
	leases   *leases
	hosts    map[string]hostReport
	joining  map[string]state.Announced
	reached  map[string]time.Time
	draining map[string]bool
	idle     map[string]bool
	loads    *loads
	planned  time.Time // when slots were last balanced
	relieved time.Time // when a dispatcher was last moved to a host with fewer
	slotsAt  time.Time // when slots were last looked at, and at which state
	slotsOf  uint64
}

// hostReport is what the newest heartbeat of a host said.
type hostReport struct {
	zone        string
	incarnation string
	index       uint64
	leaving     bool
}

// NewController opens the replica of this host and answers for it on the hub.
func NewController(now time.Time, setup paxos.Config, hub *peer.Endpoint, feed *state.Store, disk ...walog.Option) (*Controller, error) {
	replica, err := paxos.New(now, setup, Transport{hub}, feed, disk...)
	if err != nil {
		return nil, err
	}
	l := &Controller{name: setup.Name, replica: replica, feed: feed}
	l.reset(now)
	ServeReplica(hub, func() Acceptor { return replica })
	peer.HandleTyped(hub, "beat", l.handleBeat)
	peer.HandleTyped(hub, "propose", l.handlePropose)
	peer.HandleTyped(hub, "lost", l.handleLost)
	peer.HandleTyped(hub, "released", l.handleReleased)
	peer.HandleTyped(hub, "progress", l.handleProgress)
	return l, nil
}

// Start begins to vote and, while leading, to carry out the duties.
func (l *Controller) Start() {
	l.replica.Start()
	l.tomb.Go(l.run)
}

// Stop ends the duties and closes the replica.
func (l *Controller) Stop() {
	l.tomb.Kill(nil)
	_ = l.tomb.Wait()
	_ = l.replica.Stop()
}

// Status returns what the replica knows of the log.
func (l *Controller) Status(now time.Time) paxos.Status {
	return l.replica.Status(now)
}

// ReplicaStates returns what the replica knows of the others' copies of the log.
func (l *Controller) ReplicaStates(now time.Time) map[string]paxos.ReplicaState {
	return l.replica.ReplicaStates(now)
}

// Done closes when the replica has ended, by Stop or by a failed disk.
func (l *Controller) Done() <-chan struct{} {
	return l.replica.Done()
}

// Err returns why the replica has ended.
func (l *Controller) Err() error {
	return l.replica.Err()
}

// reset forgets what heartbeats have told; the lock is held or not needed yet.
func (l *Controller) reset(now time.Time) {
	incarnations := make(map[string]string)
	l.feed.Read(func(s *state.State) {
		for name, host := range s.Hosts {
			if host.Up {
				incarnations[name] = host.Incarnation
			}
		}
	})
	l.leases = newLeases(now, incarnations)
	l.hosts = make(map[string]hostReport)
	l.joining = make(map[string]state.Announced)
	l.reached = make(map[string]time.Time)
	l.draining = make(map[string]bool)
	l.idle = make(map[string]bool)
	l.loads = newLoads()
	l.planned = now
	l.relieved = now
	l.slotsAt = time.Time{}
}

// leading reports whether this replica holds the leader's lease, and begins a new leadership
// with the leases of the one before.
func (l *Controller) leading(now time.Time) (paxos.Status, bool) {
	status := l.replica.Status(now)
	if !status.Leading {
		return status, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ballot != status.Ballot {
		l.ballot = status.Ballot
		l.reset(now)
	}
	return status, true
}

func (l *Controller) run() error {
	ticker := time.NewTicker(stepPeriod)
	defer ticker.Stop()
	for {
		changed := l.feed.Changed()
		select {
		case <-l.tomb.Dying():
			return nil
		case <-ticker.C:
		case <-changed:
		}
		now := time.Now()
		if _, ok := l.leading(now); !ok {
			continue
		}
		for _, command := range l.plan(now) {
			if _, _, err := l.propose(command); err != nil {
				break
			}
		}
	}
}

func (l *Controller) propose(command state.Command) ([]byte, uint64, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(l.tomb.Context(context.Background()), watchTimeout)
	defer cancel()
	return l.replica.Propose(ctx, data)
}

func (l *Controller) handleBeat(_ context.Context, from string, beat Heartbeat) (HeartbeatReply, error) {
	now := time.Now()
	status, ok := l.leading(now)
	if !ok {
		return HeartbeatReply{Leader: status.Leader, Index: l.feed.Index()}, nil
	}
	isUp := false
	l.feed.Read(func(s *state.State) {
		host := s.Hosts[from]
		isUp = host != nil && host.Up && host.Incarnation == beat.Incarnation
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(now, from, beat)
	granted := isUp && l.leases.renew(now, from, beat.Incarnation)
	return HeartbeatReply{LeaseGranted: granted, Leader: l.name, Index: l.feed.Index()}, nil
}

// note takes in what a heartbeat says.
func (l *Controller) note(now time.Time, from string, beat Heartbeat) {
	l.hosts[from] = hostReport{
		zone: beat.Zone, incarnation: beat.Incarnation, index: beat.AppliedIndex, leaving: beat.Leaving,
	}
	for _, announced := range beat.Announced {
		l.joining[announced.ID] = announced
	}
	for _, id := range beat.ReachableUpstreams {
		l.reached[id] = now
	}
	for _, id := range beat.DrainingUpstreams {
		l.draining[id] = true
	}
	for _, id := range beat.DrainedUpstreams {
		l.idle[id] = true
	}
	l.loads.add(now, beat.Loads)
}

func (l *Controller) handlePropose(_ context.Context, _ string, args Proposal) (ProposalReply, error) {
	status, ok := l.leading(time.Now())
	if !ok {
		return ProposalReply{Leader: status.Leader}, nil
	}
	answer, index, err := l.propose(args.Command)
	if err != nil {
		return ProposalReply{}, err
	}
	return ProposalReply{OK: true, Index: index, Answer: answer}, nil
}

func (l *Controller) handleLost(_ context.Context, _ string, report LostReport) (ProposalReply, error) {
	now := time.Now()
	status, ok := l.leading(now)
	if !ok {
		return ProposalReply{Leader: status.Leader}, nil
	}
	_, index, err := l.propose(state.Command{MarkLost: &state.MarkLost{
		Upstream:        report.Upstream,
		ExpectedEpoch:   report.Epoch,
		SlotAssignments: l.heirs(now, report.Upstream),
	}})
	return ProposalReply{OK: err == nil, Index: index}, err
}

func (l *Controller) handleReleased(_ context.Context, _ string, released []ReleasedSlot) (ProposalReply, error) {
	now := time.Now()
	status, ok := l.leading(now)
	if !ok {
		return ProposalReply{Leader: status.Leader}, nil
	}
	_, index, err := l.propose(state.Command{SlotAssignments: l.handOver(now, released)})
	return ProposalReply{OK: err == nil, Index: index}, err
}

func (l *Controller) handleProgress(context.Context, string, struct{}) (Progress, error) {
	status, ok := l.leading(time.Now())
	if !ok {
		return Progress{Leader: status.Leader}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := make(map[string]uint64, len(l.hosts))
	for name, report := range l.hosts {
		hosts[name] = report.index
	}
	return Progress{Leader: l.name, Hosts: hosts}, nil
}

package ctrl

import (
	"context"
	"errors"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"lovagelink.example/lovagelink/internal/event"
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
)

// ErrNoLeader reports that no leader could be reached in time.
var ErrNoLeader = errors.New("no leader of the control log is reachable")

var errStaleSource = errors.New("source has nothing newer")

// Reporter returns the contents of the next heartbeat.
type Reporter interface {
	Report(now time.Time, withLoads bool) Heartbeat
}

// Sources lists the hosts from which a host can follow the replicated state.
type Sources struct {
	Preferred []string // tried in this order
	Fallbacks []string // tried when no preferred source has replied
}

// Client connects one entry host to the control plane: it sends heartbeats and follows the replicated state.
type Client struct {
	name     string
	endpoint *peer.Endpoint
	store    *state.Store
	replicas []string // those of the host's zone first
	sources  Sources
	reporter Reporter
	clock    *event.Clock
	trigger  chan struct{}
	tomb     tomb.Tomb

	mu                sync.Mutex
	leader            string
	leaseEnd          time.Time // end of the host's lease
	offeredLeaseEnd   time.Time // end of a lease that is valid once the store has applied offeredLeaseIndex
	offeredLeaseIndex uint64
	loadsReportedAt   time.Time // when loads were last reported
	leaderIndex       uint64    // the highest index that a heartbeat reply has reported
}

// NewClient returns a client; replicas lists the hosts with a replica of the control log, nearest first.
func NewClient(name string, endpoint *peer.Endpoint, store *state.Store, replicas []string, sources Sources, reporter Reporter, clock *event.Clock) *Client {
	c := &Client{
		name: name, endpoint: endpoint, store: store, replicas: replicas, sources: sources, reporter: reporter, clock: clock,
		trigger: make(chan struct{}, 1),
	}
	peer.HandleTyped(endpoint, "watch", c.handleWatch)
	return c
}

// Start starts to send heartbeats and to follow the state.
func (c *Client) Start() {
	c.tomb.Go(c.heartbeatLoop)
	c.tomb.Go(c.watchLoop)
}

// Stop stops sending heartbeats and following the state.
func (c *Client) Stop() {
	c.tomb.Kill(nil)
	_ = c.tomb.Wait()
}

// LeaseUntil returns the time until which this host may act as a dispatcher. A lease is valid only once this host has
// applied the index at which the leader granted the lease. A host that no longer follows the state thus loses its
// lease, and stops acting in roles that the state has since assigned to other hosts.
func (c *Client) LeaseUntil() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adoptOfferedLease()
	return c.leaseEnd
}

// adoptOfferedLease makes an offered lease the current lease if the store has applied the index of the offer. The
// caller holds c.mu.
func (c *Client) adoptOfferedLease() {
	if c.offeredLeaseEnd.After(c.leaseEnd) && c.store.Index() >= c.offeredLeaseIndex {
		c.leaseEnd = c.offeredLeaseEnd
	}
}

// Leader returns the host that the last heartbeat reply named as the leader, or "".
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// TriggerHeartbeat sends the next heartbeat at once.
func (c *Client) TriggerHeartbeat() {
	select {
	case c.trigger <- struct{}{}:
	default:
	}
}

// Propose proposes a command through the leader, and retries until ctx ends.
func (c *Client) Propose(ctx context.Context, command state.Command) (ProposalReply, error) {
	return callLeader(ctx, c, "propose", Proposal{Command: command},
		func(r ProposalReply) (bool, string) { return r.OK, r.Leader })
}

// ReportLost reports a lost upstream to the leader.
func (c *Client) ReportLost(ctx context.Context, report LostReport) error {
	_, err := callLeader(ctx, c, "lost", report,
		func(r ProposalReply) (bool, string) { return r.OK, r.Leader })
	return err
}

// ReportReleased reports released slots to the leader, which assigns them to their next owners.
func (c *Client) ReportReleased(ctx context.Context, released []ReleasedSlot) error {
	_, err := callLeader(ctx, c, "released", released,
		func(r ProposalReply) (bool, string) { return r.OK, r.Leader })
	return err
}

// Progress returns the index that each host has applied, as reported to the leader.
func (c *Client) Progress(ctx context.Context) (Progress, error) {
	return callLeader(ctx, c, "progress", struct{}{},
		func(p Progress) (bool, string) { return p.Hosts != nil, p.Leader })
}

// callLeader calls one replica after another until the leader has replied. leaderOf returns whether a reply is from the
// leader, and the name of the leader if not.
func callLeader[R any](ctx context.Context, c *Client, method string, params any, leaderOf func(R) (bool, string)) (R, error) {
	target := c.Leader()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if target == "" {
			target = c.replicas[attempt%len(c.replicas)]
		}
		reply, err := callWithTimeout[R](ctx, c, target, method, params)
		if err == nil {
			isLeader, leader := leaderOf(reply)
			if isLeader {
				return reply, nil
			}
			target = leader
		} else {
			target = ""
		}
		pause.For(ctx, 20*time.Millisecond)
	}
	var zero R
	return zero, ErrNoLeader
}

func callWithTimeout[R any](ctx context.Context, c *Client, host, method string, params any) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peer.Call[R](ctx, c.endpoint, host, method, params)
}

// heartbeatLoop sends a heartbeat in each heartbeatInterval, and sooner if the last one did not reach the leader. If
// the leader is unknown, it tries one replica after another.
func (c *Client) heartbeatLoop() error {
	ctx := c.tomb.Context(context.Background())
	for attempt := 0; c.tomb.Alive(); attempt++ {
		target := c.Leader()
		if target == "" {
			target = c.replicas[attempt%len(c.replicas)]
		}
		if c.sendHeartbeat(ctx, target) {
			c.wait(heartbeatInterval)
		} else {
			c.wait(heartbeatInterval / 4)
		}
	}
	return nil
}

// sendHeartbeat sends one heartbeat, and reports whether the target is the leader. The lease counts from the time
// before the heartbeat was sent, and is shortened by a tenth, since the clocks of hosts may run at different speeds.
func (c *Client) sendHeartbeat(ctx context.Context, target string) bool {
	sentAt := time.Now()
	reply, err := callWithTimeout[HeartbeatReply](ctx, c, target, "beat", c.newHeartbeat(sentAt))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.leader = ""
		return false
	}
	c.leader = reply.Leader
	c.leaderIndex = max(c.leaderIndex, reply.Index)
	if reply.LeaseGranted {
		c.adoptOfferedLease()
		c.offeredLeaseEnd = sentAt.Add(HostLeaseDuration - HostLeaseDuration/10)
		c.offeredLeaseIndex = reply.Index
	}
	return reply.Leader == target
}

func (c *Client) newHeartbeat(now time.Time) Heartbeat {
	c.mu.Lock()
	withLoads := now.Sub(c.loadsReportedAt) >= loadReportInterval
	if withLoads {
		c.loadsReportedAt = now
	}
	c.mu.Unlock()
	heartbeat := c.reporter.Report(now, withLoads)
	heartbeat.AppliedIndex = c.store.Index()
	return heartbeat
}

func (c *Client) wait(period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.trigger:
	case <-c.tomb.Dying():
	}
}

// watchLoop follows the first preferred source. If that source fails or lags behind the leader, watchLoop follows each
// of the other sources for up to substitutePeriod. A fallback is used only if no preferred source has replied: the
// fallback may itself wait for state from this host.
func (c *Client) watchLoop() error {
	ctx := c.tomb.Context(context.Background())
	for round := 0; c.tomb.Alive(); round++ {
		if hasReplied := c.watchPreferred(ctx); !hasReplied && len(c.sources.Fallbacks) > 0 {
			_ = c.watchSource(ctx, c.sources.Fallbacks[round%len(c.sources.Fallbacks)], true)
		}
		pause.For(ctx, watchRetryDelay)
	}
	return nil
}

// watchPreferred follows the preferred sources in turn, and reports whether any of them has replied.
func (c *Client) watchPreferred(ctx context.Context) (hasReplied bool) {
	for i, source := range c.sources.Preferred {
		if source == c.name {
			continue
		}
		err := c.watchSource(ctx, source, i > 0)
		if err == nil {
			return true
		}
		hasReplied = hasReplied || errors.Is(err, errStaleSource)
	}
	return hasReplied
}

// watchSource follows one source until the source fails. A substitute is followed for substitutePeriod at most; then
// watchSource returns nil.
func (c *Client) watchSource(ctx context.Context, source string, isSubstitute bool) error {
	startedAt := time.Now()
	for c.tomb.Alive() {
		if isSubstitute && time.Since(startedAt) > substitutePeriod {
			return nil
		}
		if err := c.watch(ctx, source); err != nil {
			return err
		}
	}
	return nil
}

func (c *Client) watch(ctx context.Context, source string) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+callTimeout)
	defer cancel()
	batch, err := peer.Call[state.Batch](ctx, c.endpoint, source, "watch", WatchArgs{Index: c.store.Index()})
	if err != nil {
		return err
	}
	c.clock.Observe(batch.Stamp)
	if err := c.store.ApplyBatch(batch); err != nil {
		return err
	}
	if len(batch.Entries) == 0 && batch.Snapshot == nil && c.isLagging() {
		return errStaleSource
	}
	return nil
}

// IsCaughtUp reports whether this host knows the leader and has applied every index that heartbeat replies have
// reported.
func (c *Client) IsCaughtUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader != "" && c.store.Index() >= c.leaderIndex
}

// isLagging reports whether a heartbeat reply has reported a higher index than this host has applied. If the source of
// the state has nothing newer then, the source is cut off from the leader.
func (c *Client) isLagging() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Index() < c.leaderIndex
}

// handleWatch returns the entries after an index. If there are none, it first waits for new entries for up to
// watchTimeout.
func (c *Client) handleWatch(ctx context.Context, _ string, args WatchArgs) (state.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	_ = c.store.Await(ctx, args.Index+1)
	batch, err := c.store.Since(args.Index)
	batch.Stamp = c.clock.Next(time.Now())
	return batch, err
}

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

var errStale = errors.New("source has nothing newer")

// Reporter tells what the next heartbeat should say.
type Reporter interface {
	Report(now time.Time, withLoads bool) Heartbeat
}

// Sources are the hosts whose state a host can follow.
type Sources struct {
	Preferred []string // tried in turn, the first one first
	Fallbacks []string // tried when none of them has answered
}

// Client keeps one entry host in touch with the control plane.
type Client struct {
	name     string
	hub      *peer.Endpoint
	feed     *state.Store
	replicas []string // own zone first
	sources  Sources
	reporter Reporter
	clock    *event.Clock
	nudge    chan struct{}
	tomb     tomb.Tomb

	mu     sync.Mutex
	leader string
	until  time.Time // end of the host's lease
	offer  time.Time // end of a lease that holds once the state has reached needed
	needed uint64
	loaded time.Time // when loads were last reported
	newest uint64    // the highest index that a leader has told of
}

// NewClient returns a client; replicas lists the hosts of the log, the nearest first.
func NewClient(name string, hub *peer.Endpoint, feed *state.Store, replicas []string, sources Sources, reporter Reporter, clock *event.Clock) *Client {
	c := &Client{
		name: name, hub: hub, feed: feed, replicas: replicas, sources: sources, reporter: reporter, clock: clock,
		nudge: make(chan struct{}, 1),
	}
	peer.HandleTyped(hub, "watch", c.handleWatch)
	return c
}

// Start begins to send heartbeats and to follow the state.
func (c *Client) Start() {
	c.tomb.Go(c.beatLoop)
	c.tomb.Go(c.watchLoop)
}

// Stop ends both.
func (c *Client) Stop() {
	c.tomb.Kill(nil)
	_ = c.tomb.Wait()
}

// LeaseUntil returns until when this host may act as a dispatcher. A lease holds only on a host that
// knows what the leader knew when it granted it: one that no longer follows the state loses its
// lease, and with it the roles that the state has taken from it.
func (c *Client) LeaseUntil() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takeUp()
	return c.until
}

// takeUp turns an offered lease into one that holds, if the state has come far enough.
func (c *Client) takeUp() {
	if c.offer.After(c.until) && c.feed.Index() >= c.needed {
		c.until = c.offer
	}
}

// Leader returns the host that last answered as the leader.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// TriggerHeartbeat sends the next heartbeat at once.
func (c *Client) TriggerHeartbeat() {
	select {
	case c.nudge <- struct{}{}:
	default:
	}
}

// Propose puts a command into the log by way of the leader, trying until ctx ends.
func (c *Client) Propose(ctx context.Context, command state.Command) (ProposalReply, error) {
	return askLeader(ctx, c, "propose", Proposal{Command: command},
		func(r ProposalReply) (bool, string) { return r.OK, r.Leader })
}

// ReportLost tells the leader of a silent upstream.
func (c *Client) ReportLost(ctx context.Context, report LostReport) error {
	_, err := askLeader(ctx, c, "lost", report,
		func(r ProposalReply) (bool, string) { return r.OK, r.Leader })
	return err
}

// ReportReleased tells the leader of slots that can be handed over.
func (c *Client) ReportReleased(ctx context.Context, released []ReleasedSlot) error {
	_, err := askLeader(ctx, c, "released", released,
		func(r ProposalReply) (bool, string) { return r.OK, r.Leader })
	return err
}

// Progress asks the leader which index each host has reached.
func (c *Client) Progress(ctx context.Context) (Progress, error) {
	return askLeader(ctx, c, "progress", struct{}{},
		func(p Progress) (bool, string) { return p.Hosts != nil, p.Leader })
}

// askLeader calls one replica after the other until the leader has answered.
func askLeader[R any](ctx context.Context, c *Client, method string, args any, read func(R) (bool, string)) (R, error) {
	target := c.Leader()
	for turn := 0; ctx.Err() == nil; turn++ {
		if target == "" {
			target = c.replicas[turn%len(c.replicas)]
		}
		reply, err := callWithin[R](ctx, c, target, method, args)
		if err == nil {
			ok, leader := read(reply)
			if ok {
				return reply, nil
			}
			target = leader
		} else {
			target = ""
		}
		pause.For(ctx, 20*time.Millisecond)
	}
	var none R
	return none, ErrNoLeader
}

func callWithin[R any](ctx context.Context, c *Client, host, method string, args any) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peer.Call[R](ctx, c.hub, host, method, args)
}

// beatLoop sends a heartbeat in each period and follows the leader from replica to replica.
func (c *Client) beatLoop() error {
	ctx := c.tomb.Context(context.Background())
	for turn := 0; c.tomb.Alive(); turn++ {
		target := c.Leader()
		if target == "" {
			target = c.replicas[turn%len(c.replicas)]
		}
		if c.beat(ctx, target) {
			c.rest(beatPeriod)
		} else {
			c.rest(beatPeriod / 4)
		}
	}
	return nil
}

// beat sends one heartbeat. The lease counts from before it was sent, with a tenth held back for
// clocks that run at different speeds.
func (c *Client) beat(ctx context.Context, target string) bool {
	sent := time.Now()
	reply, err := callWithin[HeartbeatReply](ctx, c, target, "beat", c.report(sent))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.leader = ""
		return false
	}
	c.leader = reply.Leader
	c.newest = max(c.newest, reply.Index)
	if reply.LeaseGranted {
		c.takeUp()
		c.offer = sent.Add(HostLeaseDuration - HostLeaseDuration/10)
		c.needed = reply.Index
	}
	return reply.Leader == target
}

func (c *Client) report(now time.Time) Heartbeat {
	c.mu.Lock()
	withLoads := now.Sub(c.loaded) >= loadPeriod
	if withLoads {
		c.loaded = now
	}
	c.mu.Unlock()
	beat := c.reporter.Report(now, withLoads)
	beat.AppliedIndex = c.feed.Index()
	return beat
}

func (c *Client) rest(period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.nudge:
	case <-c.tomb.Dying():
	}
}

// watchLoop follows the first source; when that fails or has nothing new, the others in turn, each for a
// while. A source that answers is better than a resort, which may wait for this host itself.
func (c *Client) watchLoop() error {
	ctx := c.tomb.Context(context.Background())
	for round := 0; c.tomb.Alive(); round++ {
		if isAnswered := c.watchRound(ctx); !isAnswered && len(c.sources.Fallbacks) > 0 {
			_ = c.watchSource(ctx, c.sources.Fallbacks[round%len(c.sources.Fallbacks)], true)
		}
		pause.For(ctx, watchPause)
	}
	return nil
}

// watchRound follows the sources in turn; it reports whether one of them has answered.
func (c *Client) watchRound(ctx context.Context) (isAnswered bool) {
	for turn, source := range c.sources.Preferred {
		if source == c.name {
			continue
		}
		err := c.watchSource(ctx, source, turn > 0)
		if err == nil {
			return true
		}
		isAnswered = isAnswered || errors.Is(err, errStale)
	}
	return isAnswered
}

// watchSource follows one source until it fails; it returns nil when its time as a substitute is over.
func (c *Client) watchSource(ctx context.Context, source string, isSubstitute bool) error {
	began := time.Now()
	for c.tomb.Alive() {
		if isSubstitute && time.Since(began) > substitutePeriod {
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
	batch, err := peer.Call[state.Batch](ctx, c.hub, source, "watch", WatchArgs{Index: c.feed.Index()})
	if err != nil {
		return err
	}
	c.clock.Observe(batch.Stamp)
	if err := c.feed.ApplyBatch(batch); err != nil {
		return err
	}
	if len(batch.Entries) == 0 && batch.Snapshot == nil && c.isBehind() {
		return errStale
	}
	return nil
}

// IsCaughtUp reports whether this host has heard from a leader and knows what that leader knew.
func (c *Client) IsCaughtUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader != "" && c.feed.Index() >= c.newest
}

// isBehind reports whether a leader knows more than this host, so that its source must be cut off.
func (c *Client) isBehind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.feed.Index() < c.newest
}

// handleWatch answers with what follows an index, or waits a while for something to follow.
func (c *Client) handleWatch(ctx context.Context, _ string, args WatchArgs) (state.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	_ = c.feed.Await(ctx, args.Index+1)
	batch, err := c.feed.Since(args.Index)
	batch.Stamp = c.clock.Next(time.Now())
	return batch, err
}

package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
)

// Limits for estimates from other dispatchers.
const (
	maxCandidates   = 2 // upstreams that are compared, chosen at random
	estimateTimeout = 50 * time.Millisecond
	estimateTTL     = 100 * time.Millisecond
)

// estimateArgs asks for an estimate of how long a request of a rank would take at an upstream that the called host
// dispatches for.
type estimateArgs struct {
	Upstream string `json:"upstream"`
	Rank     int    `json:"rank"`
}

// estimateReply is a dispatcher's estimate; Accepts is false if the dispatcher accepts no offloaded requests.
type estimateReply struct {
	disp.Estimate
	Accepts bool `json:"taken"`
}

// estimateCache holds recent estimates of other dispatchers.
type estimateCache struct {
	mu      sync.Mutex
	replies map[estimateArgs]cachedReply
}

type cachedReply struct {
	estimateReply
	receivedAt time.Time
}

func newEstimateCache() *estimateCache {
	return &estimateCache{replies: make(map[estimateArgs]cachedReply)}
}

// get returns a cached estimate and whether it is still valid.
func (c *estimateCache) get(now time.Time, args estimateArgs) (estimateReply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply, ok := c.replies[args]
	return reply.estimateReply, ok && now.Sub(reply.receivedAt) < estimateTTL
}

func (c *estimateCache) put(now time.Time, args estimateArgs, reply estimateReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replies[args] = cachedReply{reply, now}
}

// addOffloaded adds a request that was offloaded after the estimate to the cached estimate.
func (c *estimateCache) addOffloaded(args estimateArgs) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply, ok := c.replies[args]; ok {
		reply.Total += reply.Each
		c.replies[args] = reply
	}
}

// FindFaster returns another upstream of a service without keys at which a request is estimated to take much less
// time than here.
func (h *Host) FindFaster(ctx context.Context, r disp.Request, local disp.Estimate) (disp.Target, bool) {
	var target disp.Target
	best := local
	for _, other := range h.otherTargets(time.Now(), r) {
		reply, err := h.estimate(ctx, other.Host, estimateArgs{other.Upstream, r.Rank})
		if err == nil && reply.Accepts && reply.IsFaster(local) && reply.Total < best.Total {
			best, target = reply.Estimate, other
		}
	}
	if target.Host == "" {
		return target, false
	}
	h.estimates.addOffloaded(estimateArgs{target.Upstream, r.Rank})
	return target, true
}

// otherTargets returns a random choice of other upstreams of the service whose dispatchers can be reached.
func (h *Host) otherTargets(now time.Time, r disp.Request) []disp.Target {
	var targets []disp.Target
	h.store.Read(func(s *state.State) {
		for _, u := range s.Upstreams {
			isReachable := u.Dispatcher == h.settings.Name ||
				h.endpoint.CanReach(now, u.Dispatcher) && h.remote.canReach(now, u.Dispatcher)
			if u.Service == r.Service && u.ID != r.Upstream && u.Phase == state.Serving && isReachable {
				targets = append(targets, disp.Target{Upstream: u.ID, Host: u.Dispatcher})
			}
		}
	})
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(len(targets), maxCandidates)]
}

// estimate returns a dispatcher's estimate, from the cache if it is recent. A failed call is cached as a dispatcher
// that accepts no offloaded requests.
func (h *Host) estimate(ctx context.Context, host string, args estimateArgs) (estimateReply, error) {
	if host == h.settings.Name {
		return h.serveEstimate(ctx, host, args)
	}
	if reply, isFresh := h.estimates.get(time.Now(), args); isFresh {
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(ctx, estimateTimeout)
	defer cancel()
	reply, err := peer.Call[estimateReply](ctx, h.endpoint, host, "expect", args)
	h.estimates.put(time.Now(), args, reply)
	return reply, err
}

// serveEstimate returns the estimate of a dispatcher on this host.
func (h *Host) serveEstimate(_ context.Context, _ string, args estimateArgs) (estimateReply, error) {
	estimate, accepts := h.dispatchers.Estimate(time.Now(), args.Upstream, args.Rank)
	return estimateReply{Estimate: estimate, Accepts: accepts}, nil
}

// Offload runs a request through the dispatcher of another upstream, as an attempt of this host.
func (h *Host) Offload(ctx context.Context, target disp.Target, r disp.Request, permit disp.Permit) disp.Outcome {
	r.Upstream = target.Upstream
	r.Origin = h.settings.Name
	r.Token = newToken()
	r.AnyUpstream, r.Offloaded = true, true
	if deadline, ok := ctx.Deadline(); ok {
		r.Left = time.Until(deadline)
	}
	h.dispatchStats.Offloaded.Add(1)
	h.attempts.register(r.Token, permit)
	if target.Host == h.settings.Name {
		defer h.attempts.withdraw(r.Token)
		return h.dispatchers.Run(ctx, r)
	}
	outcome, _, _ := h.runOn(ctx, target.Host, r)
	return outcome
}

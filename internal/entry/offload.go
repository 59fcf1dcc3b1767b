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

// Bounds of asking other dispatchers how long a request would take.
const (
	offloadChoices = 2 // upstreams that are compared, picked at random
	expectTimeout  = 50 * time.Millisecond
	expectKept     = 100 * time.Millisecond
)

// expectArgs asks a host how long a request of a rank would take at one of its upstreams.
type expectArgs struct {
	Upstream string `json:"upstream"`
	Rank     int    `json:"rank"`
}

// expectReply is what the dispatcher expects; Taken is false when it takes no offloaded work.
type expectReply struct {
	disp.Estimate
	Taken bool `json:"taken"`
}

// told holds what dispatchers have lately said that they expect.
type told struct {
	mu   sync.Mutex
	last map[expectArgs]toldReply
}

type toldReply struct {
	expectReply
	at time.Time
}

func newTold() *told {
	return &told{last: make(map[expectArgs]toldReply)}
}

// get returns what was said not long ago.
func (t *told) get(now time.Time, args expectArgs) (expectReply, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply, ok := t.last[args]
	return reply.expectReply, ok && now.Sub(reply.at) < expectKept
}

func (t *told) put(now time.Time, args expectArgs, reply expectReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last[args] = toldReply{reply, now}
}

// add counts a request that was offloaded since.
func (t *told) add(args expectArgs) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reply, ok := t.last[args]; ok {
		reply.Total += reply.Each
		t.last[args] = reply
	}
}

// FindFaster finds another upstream of a service without keys at which a request would take much less time.
func (h *Host) FindFaster(ctx context.Context, r disp.Request, here disp.Estimate) (disp.Target, bool) {
	var target disp.Target
	best := here
	for _, other := range h.others(time.Now(), r) {
		reply, err := h.expect(ctx, other.Host, expectArgs{other.Upstream, r.Rank})
		if err == nil && reply.Taken && reply.IsFaster(here) && reply.Total < best.Total {
			best, target = reply.Estimate, other
		}
	}
	if target.Host == "" {
		return target, false
	}
	h.told.add(expectArgs{target.Upstream, r.Rank})
	return target, true
}

// others picks some other upstreams of a service whose dispatchers can be reached.
func (h *Host) others(now time.Time, r disp.Request) []disp.Target {
	var targets []disp.Target
	h.feed.Read(func(s *state.State) {
		for _, u := range s.Upstreams {
			isUsable := u.Dispatcher == h.settings.Name || h.hub.CanReach(now, u.Dispatcher) && h.hop.canReach(now, u.Dispatcher)
			if u.Service == r.Service && u.ID != r.Upstream && u.Phase == state.Serving && isUsable {
				targets = append(targets, disp.Target{Upstream: u.ID, Host: u.Dispatcher})
			}
		}
	})
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(len(targets), offloadChoices)]
}

// expect asks a dispatcher how long a request would take, unless it has said so just now.
func (h *Host) expect(ctx context.Context, host string, args expectArgs) (expectReply, error) {
	if host == h.settings.Name {
		return h.serveExpect(ctx, host, args)
	}
	if reply, isFresh := h.told.get(time.Now(), args); isFresh {
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(ctx, expectTimeout)
	defer cancel()
	reply, err := peer.Call[expectReply](ctx, h.hub, host, "expect", args)
	h.told.put(time.Now(), args, reply)
	return reply, err
}

// serveExpect answers another host.
func (h *Host) serveExpect(_ context.Context, _ string, args expectArgs) (expectReply, error) {
	expected, isTaken := h.disps.Estimate(time.Now(), args.Upstream, args.Rank)
	return expectReply{Estimate: expected, Taken: isTaken}, nil
}

// Offload has the dispatcher of another upstream carry out a request, as an attempt of this host.
func (h *Host) Offload(ctx context.Context, target disp.Target, r disp.Request, permit disp.Permit) disp.Outcome {
	r.Upstream = target.Upstream
	r.Origin = h.settings.Name
	r.Token = newToken()
	r.AnyUpstream, r.Offloaded = true, true
	if deadline, ok := ctx.Deadline(); ok {
		r.Left = time.Until(deadline)
	}
	h.dispatch.Offloaded.Add(1)
	h.attempts.open(r.Token, permit)
	if target.Host == h.settings.Name {
		defer h.attempts.withdraw(r.Token)
		return h.disps.Run(ctx, r)
	}
	outcome, _, _ := h.runAt(ctx, target.Host, r)
	return outcome
}

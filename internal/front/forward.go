package front

import (
	"context"
	"net/http"
	"time"

	"lovagelink.example/lovagelink/internal/admit"
	"lovagelink.example/lovagelink/internal/route"
)

// Limits of what is done for one request.
const (
	maxSends    = 4                      // times that one request is sent, whatever its route allows
	ownerWait   = 600 * time.Millisecond // for keys that change hands; a release waits for the work under way, of some 100 ms
	leastUseful = 5 * time.Millisecond   // less time than this is of no use to an upstream
)

// result is what became of one attempt.
type result int

const (
	answered result = iota // the caller has its answer
	unsent                 // nothing reached the upstream
	shed                   // the upstream had no room and has not run it
	misled                 // another upstream answered, or this one does not have the key; not run
	lost                   // no whole answer came; it may have run
)

// forward sends a request to upstreams until one has answered it; it returns the final answer if none does.
func (f *Front) forward(ctx context.Context, c *call) *outcome {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	if c.route.Repeat != route.Idempotent {
		select {
		case <-c.x.PriorDone():
		case <-ctx.Done():
			return c.late()
		}
		if c.x.IsClosed() {
			return c.refuse(0, "its connection has ended behind an earlier answer")
		}
	}
	for {
		now := time.Now()
		if c.deadline.Sub(now) < leastUseful {
			return c.late()
		}
		u, refusal := f.choose(ctx, now, c)
		if refusal != nil {
			return refusal
		}
		if rest := u.rest(now); rest > 0 && c.service.Keyed {
			return c.refuse(rest, "the owner of the key can't be reached")
		}
		overload, ok := u.enter(ctx, now, c.route.Rank, c.x.Arrived.Add(c.route.LatencyTarget), c.deadline)
		if overload != nil {
			return c.refuse(overload.After, "overload: it would be late")
		}
		if !ok {
			return c.late()
		}
		now = time.Now()
		if !f.isStill(now, c, u) {
			u.leave(now)
			continue
		}
		if c.sent > 0 && !f.mayRepeat(now, c.service.Name) {
			u.leave(now)
			return c.giveUp("no more requests may be sent again at present")
		}
		switch f.attempt(ctx, c, u) {
		case answered:
			return nil
		case lost:
			c.mayRun = true
			if ctx.Err() != nil {
				return c.late()
			}
			if c.route.Repeat != route.Idempotent {
				return c.giveUp("the upstream gave no whole answer")
			}
		case unsent, shed, misled:
		}
		if c.sent >= maxSends || len(c.tried) >= c.route.Attempts && !c.service.Keyed {
			return c.giveUp("all attempts have failed")
		}
	}
}

// choose returns the upstream for a request: the owner of its key, or the one of a service without keys that would
// answer soonest.
func (f *Front) choose(ctx context.Context, now time.Time, c *call) (*upstream, *outcome) {
	if !c.service.Keyed {
		return f.chooseAny(now, c)
	}
	if !c.marks.HasKey {
		return nil, &outcome{http.StatusBadRequest, 0, "the service is divided by key, and the request names none"}
	}
	end := now.Add(min(ownerWait, c.deadline.Sub(now)))
	for {
		changed := f.viewChange()
		view := f.view.Load()
		known, fence, isOwned := view.Owner(now, c.service.Name, c.marks.Key)
		if isOwned {
			u := f.at(known.Upstream)
			if wait := u.lacks(now, fence); wait == 0 {
				c.fence = fence
				return u, nil
			} else if wait > end.Sub(now) {
				return nil, c.refuse(wait, "the owner does not have the key")
			}
		}
		if ready, _ := view.Usable(c.service.Name); len(ready) == 0 {
			return nil, c.refuse(unknownAfter, "no upstream of the service is known")
		}
		// What takes longer than a move is a takeover, which waits until grants end that can't be taken back.
		if !isOwned && view.OwnerlessFor(now, c.service.Name, c.marks.Key) >= ownerWait {
			return nil, c.refuse(takeoverAfter, "the keys wait for their next owner")
		}
		timer := time.NewTimer(min(end.Sub(now), lackLook))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		now = time.Now()
		if ctx.Err() != nil || !now.Before(end) {
			return nil, c.refuse(unknownAfter, "nobody has the key at present")
		}
	}
}

// takeoverAfter is when to come back for a key whose owner was lost; a takeover lasts some seconds.
const takeoverAfter = time.Second

// chooseAny returns the upstream that would answer soonest, leaving out those that the request was sent to.
func (f *Front) chooseAny(now time.Time, c *call) (*upstream, *outcome) {
	ready, lostOnes := f.view.Load().Usable(c.service.Name)
	left := c.x.Arrived.Add(c.route.LatencyTarget).Sub(now)
	for _, evenTried := range []bool{false, true} {
		for _, group := range [][]UpstreamState{ready, lostOnes} {
			var candidates []admit.Candidate
			var at []*upstream
			for _, known := range group {
				u := f.at(known.Upstream)
				if c.tried[known.ID] == evenTried && u.rest(now) == 0 {
					candidates = append(candidates, admit.Candidate{IsNear: known.Zone == f.site.Zone, Cost: u.cost(now)})
					at = append(at, u)
				}
			}
			if best, ok := admit.Choose(candidates, left); ok {
				return at[best], nil
			}
		}
	}
	return nil, c.refuse(unknownAfter, "no upstream of the service can be reached")
}

// isStill reports whether an upstream may still be sent a request that has waited for it.
func (f *Front) isStill(now time.Time, c *call, u *upstream) bool {
	view := f.view.Load()
	if c.service.Keyed {
		known, fence, ok := view.Owner(now, c.service.Name, c.marks.Key)
		return ok && known.Instance == u.known.Instance && u.lacks(now, fence) == 0
	}
	known, ok := view.Upstreams[u.known.ID]
	return ok && known.Instance == u.known.Instance && !known.IsLeaving()
}

// refuse says that a request has not run, and when to come back; one that may have run has an unknown outcome.
func (c *call) refuse(after time.Duration, reason string) *outcome {
	if c.mayRun && c.route.Repeat != route.Idempotent {
		return &outcome{http.StatusBadGateway, 0, reason}
	}
	return &outcome{http.StatusServiceUnavailable, after, reason}
}

// giveUp ends a request after its attempts.
func (c *call) giveUp(reason string) *outcome {
	if c.mayRun {
		return &outcome{http.StatusBadGateway, 0, reason}
	}
	return c.refuse(leastAfter, reason)
}

// late ends a request whose time is over.
func (c *call) late() *outcome {
	if c.mayRun || c.sent > 0 {
		return &outcome{http.StatusGatewayTimeout, 0, "no answer within the time limit"}
	}
	return c.refuse(leastAfter, "it could not be sent within the time limit")
}

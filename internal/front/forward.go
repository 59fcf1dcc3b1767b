package front

import (
	"context"
	"net/http"
	"time"

	"lovagelink.example/lovagelink/internal/route"
)

// Limits for one request of a caller.
const (
	maxSends = 4 // times that one request is sent to upstreams, whatever its route allows
	// maxOwnerWait is how long a request waits for a key that is being moved. The release of a key waits for its requests
	// in flight, some 100 ms.
	maxOwnerWait = 600 * time.Millisecond
	minTimeLeft  = 5 * time.Millisecond // less time than this is of no use to an upstream
)

// result is how one attempt ended.
type result int

const (
	responded      result = iota // the caller has been sent a response
	unsent                       // nothing reached the upstream
	shed                         // the upstream was overloaded and has not run the request
	misdirected                  // another upstream responded, or this one does not own the key; the request has not run
	outcomeUnknown               // no complete response was received; the request may have run
)

// forward sends a request to upstreams until one of them responds. It returns nil if the caller has been sent a
// response, and otherwise the failure to respond with.
func (f *Front) forward(ctx context.Context, c *call) *outcome {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	defer context.AfterFunc(f.closing, cancel)()
	// While this host stops, a request behind another one is not sent either: its answer would wait for that of the other,
	// which the end of the process may cut. The caller sends again what stands behind an answer that closes.
	if c.route.Repeat != route.Idempotent || f.draining.Load() {
		select {
		case <-c.exchange.PriorDone():
		case <-ctx.Done():
			return c.timeOut()
		}
		if c.exchange.IsClosed() {
			return c.refuse(0, "its connection has ended behind an earlier answer")
		}
	}
	for {
		now := time.Now()
		c.deadline = f.boundDeadline(c.deadline)
		if c.deadline.Sub(now) < minTimeLeft {
			return c.timeOut()
		}
		u, refusal := f.choose(ctx, now, c)
		if refusal != nil {
			return refusal
		}
		if backoff := u.backoff(now); backoff > 0 && c.service.Keyed {
			return c.refuse(backoff, "the owner of the key can't be reached")
		}
		overload, ok := u.acquire(ctx, now, c.route.Rank, c.exchange.Arrived.Add(c.route.LatencyTarget), c.deadline)
		if overload != nil {
			return c.refuse(overload.After, overload.Reason)
		}
		if !ok {
			return c.timeOut()
		}
		answer := f.spend(ctx, c, u)
		now = time.Now()
		if !answer.OK {
			u.releasePermit(now)
			if ctx.Err() != nil {
				return c.timeOut()
			}
			if c.service.Keyed {
				return c.refuse(answer.Retry, "the owner has named a limit of requests, which is reached")
			}
			continue // another upstream may take the request
		}
		if !f.isEligible(now, c, u) {
			u.releasePermit(now)
			continue
		}
		c.deadline = f.boundDeadline(c.deadline) // the stop may have begun while the request waited
		if !f.mayStart(now, u) {
			u.releasePermit(now)
			return c.refuse(stopRefusal.After, stopRefusal.Reason)
		}
		if c.sent > 0 && !f.mayRetry(now, c.service.Name) {
			u.releasePermit(now)
			return c.fail("no more requests may be sent again at present")
		}
		switch f.attempt(ctx, c, u) {
		case responded:
			return nil
		case outcomeUnknown:
			c.mayHaveRun = true
			if ctx.Err() != nil {
				return c.timeOut()
			}
			if c.route.Repeat != route.Idempotent {
				return c.fail("the upstream gave no whole answer")
			}
		case unsent, shed, misdirected:
		}
		if c.sent >= maxSends || len(c.tried) >= c.route.Attempts && !c.service.Keyed {
			return c.fail("all attempts have failed")
		}
	}
}

// choose returns the upstream for a request: the owner of its key, or for an unkeyed service the upstream with the
// lowest estimated latency. It waits up to maxOwnerWait while a key has no owner, or its owner reports not to own it.
func (f *Front) choose(ctx context.Context, now time.Time, c *call) (*upstream, *outcome) {
	if !c.service.Keyed {
		return f.chooseAny(now, c)
	}
	if !c.info.HasKey {
		return nil, &outcome{http.StatusBadRequest, 0, "the service is divided by key, and the request names none"}
	}
	waitEnd := now.Add(min(maxOwnerWait, c.deadline.Sub(now)))
	for {
		changed := f.viewChange()
		view := f.view.Load()
		state, token, isOwned := view.Owner(now, c.service.Name, c.info.Key)
		ownerlessFor := time.Duration(0)
		if isOwned {
			ownerlessFor = f.upstreamFor(state.Upstream).goneFor(now)
			isOwned = ownerlessFor == 0
		} else {
			ownerlessFor = view.OwnerlessFor(now, c.service.Name, c.info.Key)
		}
		if isOwned {
			u := f.upstreamFor(state.Upstream)
			if wait := u.missingKeysBackoff(now, token); wait == 0 {
				c.token = token
				return u, nil
			} else if wait > waitEnd.Sub(now) {
				return nil, c.refuse(wait, "the owner does not have the key")
			}
		}
		if ready, _ := view.Usable(c.service.Name); len(ready) == 0 {
			return nil, c.refuse(unreadyRetryAfter, "no upstream of the service is known")
		}
		// A key that has had no owner for longer than a move lasts is being taken over from a lost upstream. That waits
		// until the grants of the lost upstream expire, since they can't be released.
		if !isOwned && ownerlessFor >= maxOwnerWait {
			return nil, c.refuse(takeoverRetryAfter, "the keys wait for their next owner")
		}
		timer := time.NewTimer(min(waitEnd.Sub(now), missingPollInterval))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		now = time.Now()
		if ctx.Err() != nil || !now.Before(waitEnd) {
			return nil, c.refuse(unreadyRetryAfter, "nobody has the key at present")
		}
	}
}

// takeoverRetryAfter is the Retry-After for a key whose owner was lost. A takeover lasts some seconds.
const takeoverRetryAfter = time.Second

// chooseAny returns the upstream with the lowest estimated latency. It prefers upstreams that the request has not been
// sent to over those that it has, and among each of these the ready upstreams over the lost ones, and these over those
// that are leaving.
func (f *Front) chooseAny(now time.Time, c *call) (*upstream, *outcome) {
	pool := f.poolOf(f.view.Load(), c.service.Name)
	for _, wasTried := range []bool{false, true} {
		for _, group := range [][]*upstream{pool.ready, pool.lost} {
			if u := f.best(now, c, group, wasTried); u != nil {
				return u, nil
			}
		}
	}
	for _, u := range pool.ready {
		if u.goneFor(now) == 0 && u.backoff(now) == 0 && u.dryFor(now, c.route.Rank) == 0 {
			return u, nil
		}
	}
	return nil, c.refuse(pool.nextUse(now, c.route.Rank), "no upstream of the service can be reached or wants requests")
}

// isEligible reports whether a request that has waited in the queue of an upstream may still be sent to it.
func (f *Front) isEligible(now time.Time, c *call, u *upstream) bool {
	view := f.view.Load()
	if c.service.Keyed {
		state, token, ok := view.Owner(now, c.service.Name, c.info.Key)
		return ok && state.Instance == u.registration.Instance && u.missingKeysBackoff(now, token) == 0 && u.goneFor(now) == 0
	}
	state := view.Upstream(u.registration.ID)
	return state != nil && state.Instance == u.registration.Instance && !state.IsLeaving()
}

// refuse returns the failure for a request that can't be sent: 503 with a Retry-After. A non-idempotent request that an
// earlier attempt may have run gets 502 instead, since 503 would claim that it has not run.
func (c *call) refuse(retryAfter time.Duration, reason string) *outcome {
	if c.mayHaveRun && c.route.Repeat != route.Idempotent {
		return &outcome{http.StatusBadGateway, 0, reason}
	}
	return &outcome{http.StatusServiceUnavailable, retryAfter, reason}
}

// fail returns the failure for a request that is not sent again after failed attempts: 502 if one of them may have run
// the request, 503 otherwise.
func (c *call) fail(reason string) *outcome {
	if c.mayHaveRun {
		return &outcome{http.StatusBadGateway, 0, reason}
	}
	return c.refuse(minRetryAfter, reason)
}

// timeOut returns the failure for a request whose deadline is too close or has passed: 504 if the request was sent, 503
// otherwise.
func (c *call) timeOut() *outcome {
	if c.mayHaveRun || c.sent > 0 {
		return &outcome{http.StatusGatewayTimeout, 0, "no answer within the time limit"}
	}
	return c.refuse(minRetryAfter, "it could not be sent within the time limit")
}

package front

import (
	"context"
	"slices"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/admit"
	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/http1"
	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/realm"
)

// upstream holds this host's limiter, health record and connection pool for one instance of an upstream.
type upstream struct {
	registration realm.Upstream

	mu      sync.Mutex
	limiter *admit.Limiter[*waiter]
	health  admit.Health
	notices admit.Notices
	limited limitState
	idle    []*http1.ClientConn
	timer   *time.Timer // fires when the next delayed request may start
	closed  bool

	unqueued keyed.ServiceTime // since the last report, of requests after which the upstream had nothing queued

	missingToken uint64 // fencing token of a range that the upstream reported not to own
	missingCount int
	missingUntil time.Time
}

// Back-off for an owner that reports not to own its keys, because its grant has expired or has not arrived. The
// back-off doubles each time, since each request that the owner rejects uses up retry budget.
const (
	minMissingBackoff   = 60 * time.Millisecond
	maxMissingBackoff   = time.Second
	missingPollInterval = 50 * time.Millisecond // how often a waiting request checks whether the back-off is over
)

// recordMissingKeys records that the upstream did not own the keys that are granted under a fencing token.
func (u *upstream) recordMissingKeys(now time.Time, token uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.missingToken != token {
		u.missingToken, u.missingCount = token, 0
	}
	if now.Before(u.missingUntil) {
		return // a request that was sent before the back-off began
	}
	u.missingUntil = now.Add(min(minMissingBackoff<<min(u.missingCount, 8), maxMissingBackoff))
	u.missingCount++
}

// missingKeysBackoff returns how much longer no request is sent for keys that are granted under a fencing token.
func (u *upstream) missingKeysBackoff(now time.Time, token uint64) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.missingToken != token {
		return 0
	}
	return max(0, u.missingUntil.Sub(now))
}

// waiter is a queued request; start is closed when the request may be sent, or is refused.
type waiter struct {
	start   chan struct{}
	refusal *admit.Refusal
}

func newUpstream(registration realm.Upstream) *upstream {
	u := &upstream{registration: registration, limiter: admit.NewLimiter[*waiter](registration.Slots())}
	u.notices.LearnLimit(time.Time{}, registration.Limit) // any response to this host is newer
	return u
}

// acquire waits until the limiter admits a request. It returns a refusal if the request can't be served in time, and
// false if ctx ends first. After true the request is in flight, and one call of recordResponse, recordOverload,
// recordFailure or releasePermit must follow.
func (u *upstream) acquire(ctx context.Context, now time.Time, rank int, target, deadline time.Time) (*admit.Refusal, bool) {
	u.mu.Lock()
	item, refusal := u.limiter.Enqueue(now, &waiter{start: make(chan struct{})}, rank, target, deadline)
	if refusal != nil {
		u.mu.Unlock()
		return refusal, false
	}
	u.startWaiters(now)
	u.mu.Unlock()
	select {
	case <-item.Value.start:
		return item.Value.refusal, item.Value.refusal == nil
	case <-ctx.Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.limiter.Withdraw(item) && item.Value.refusal == nil {
		u.limiter.OnFailure()
		u.startWaiters(time.Now())
	}
	return nil, false
}

// startWaiters starts the queued requests that the limiter admits. The caller holds u.mu.
func (u *upstream) startWaiters(now time.Time) {
	for {
		item, next := u.limiter.Dequeue(now)
		if item != nil {
			close(item.Value.start)
			continue
		}
		if !next.IsZero() {
			if u.timer != nil {
				u.timer.Stop()
			}
			u.timer = time.AfterFunc(next.Sub(now), func() {
				u.mu.Lock()
				defer u.mu.Unlock()
				u.startWaiters(time.Now())
			})
		}
		return
	}
}

func (u *upstream) recordResponse(now time.Time, latency time.Duration, info calls.ResponseInfo, isSuccess bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limiter.OnResponse(now, latency, info.Load, info.HasLoad)
	if info.HasLoad && info.Load.Waiting == 0 {
		u.unqueued = u.unqueued.Plus(keyed.ServiceTime{Total: latency.Round(time.Millisecond), Samples: 1})
	}
	u.missingCount = 0
	if isSuccess {
		u.health.Succeeded()
	} else {
		u.health.Failed(now, false)
	}
	u.startWaiters(now)
}

func (u *upstream) recordOverload(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limiter.OnOverload(now)
	u.startWaiters(now)
}

// releasePermit ends a request that says nothing about the upstream's health, such as one that was not sent.
func (u *upstream) releasePermit(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limiter.OnFailure()
	u.startWaiters(now)
}

func (u *upstream) recordFailure(now time.Time, isUnreachable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limiter.OnFailure()
	u.health.Failed(now, isUnreachable)
	if isUnreachable {
		for _, conn := range u.idle {
			conn.Close()
		}
		u.idle = nil
	}
	u.startWaiters(now)
}

// recordReset records that the upstream has reset a new connection.
func (u *upstream) recordReset(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limiter.OnOverload(now)
	u.health.Reset(now)
	u.startWaiters(now)
}

// takeServiceTime returns and resets the latencies of those requests since its last call after which nothing was queued
// at the upstream.
func (u *upstream) takeServiceTime() keyed.ServiceTime {
	u.mu.Lock()
	defer u.mu.Unlock()
	measured := u.unqueued
	u.unqueued = keyed.ServiceTime{}
	return measured
}

// busy returns how many requests are in flight to the upstream and how many are queued on this host.
func (u *upstream) busy() (inFlight, waiting int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limiter.Busy()
}

// backoff returns how much longer no request is sent to the upstream, because it is unreachable or wants none.
func (u *upstream) backoff(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(u.health.Backoff(now), u.notices.PauseLeft(now))
}

// recordNotices records what the upstream has said in a response about the requests that it wants. It reports whether
// the upstream has said for the first time that it is leaving.
func (u *upstream) recordNotices(now time.Time, info calls.ResponseInfo) (startsToLeave bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if info.Pause > 0 {
		u.notices.RecordPause(now, info.Pause)
		u.refuseWaiters(admit.Refusal{After: u.notices.PauseLeft(now), Reason: "the upstream wants no requests for a while"})
	}
	return info.IsLeaving && u.notices.RecordLeaving(now)
}

// refuseWaiters refuses all queued requests. The caller holds u.mu.
func (u *upstream) refuseWaiters(refusal admit.Refusal) {
	for _, item := range u.limiter.WithdrawAll() {
		item.Value.refusal = &refusal
		close(item.Value.start)
	}
}

func (u *upstream) isLeaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.notices.IsLeaving()
}

// goneFor returns for how long an upstream that has said that it is leaving is no longer sent requests for its keys.
func (u *upstream) goneFor(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.notices.GoneFor(now, drainingGrace)
}

// cost estimates the latency of a request to the upstream, increased for recent failures.
func (u *upstream) cost(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.health.Weigh(u.limiter.Cost(now))
}

// Limits of connections. A request that is sent on an idle connection which the upstream has just closed is lost, so
// non-idempotent requests only use connections that were in use recently. The platform's upstreams close a connection
// after 10 s.
const (
	maxIdleTime          = 7 * time.Second
	maxIdleNonIdempotent = 2 * time.Second
	dialTimeout          = 400 * time.Millisecond // a lost SYN packet is retransmitted only after 1 s
	maxIdleConns         = 4
)

// connect returns an idle connection from the pool, on which the upstream has not refused the request before, or opens a
// new one.
func (u *upstream) connect(ctx context.Context, now time.Time, requestID string, isNonIdempotent bool) (*http1.ClientConn, error) {
	limit := maxIdleTime
	if isNonIdempotent {
		limit = maxIdleNonIdempotent
	}
	for {
		conn := u.takeIdle(requestID)
		if conn == nil {
			break
		}
		if conn.IsReusable(now, limit) {
			return conn, nil
		}
		conn.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return http1.Dial(ctx, now, u.registration.Address)
}

// takeIdle removes from the pool the connection that was used last, of those on which the upstream has not refused a
// request, and returns it; it returns nil if there is none.
func (u *upstream) takeIdle(requestID string) *http1.ClientConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := len(u.idle) - 1; i >= 0; i-- {
		if conn := u.idle[i]; !conn.HasRefused(requestID) {
			u.idle = slices.Delete(u.idle, i, i+1)
			return conn
		}
	}
	return nil
}

// putIdle returns a connection to the pool, or closes it if the pool is full or the upstream has ended.
func (u *upstream) putIdle(conn *http1.ClientConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed || len(u.idle) >= maxIdleConns {
		conn.Close()
		return
	}
	u.idle = append(u.idle, conn)
}

// close closes the idle connections of an instance that has ended.
func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	for _, conn := range u.idle {
		conn.Close()
	}
	u.idle = nil
}

package front

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/admit"
	"lovagelink.example/lovagelink/internal/pause"
)

// Timing of a stop. The load balancer sends new connections elsewhere after two failed readiness checks, which are a
// second apart. The process must have ended by the end of the grace period.
const (
	rotationTime = 2600 * time.Millisecond
	// For lastRequestTime after rotationTime, requests on open connections are still accepted. Later ones would not end
	// in time.
	lastRequestTime = 400 * time.Millisecond
	// Requests in progress are responded to respondMargin before the end of the grace period, and exitMargin before it
	// the process ends, even if a caller has not taken its response.
	respondMargin    = 700 * time.Millisecond
	exitMargin       = 300 * time.Millisecond
	idlePollInterval = 100 * time.Millisecond
	exitPollInterval = 20 * time.Millisecond
	acceptedTime     = 20 * time.Millisecond // by then, the connections that were opened before this host stopped to accept are served
)

// newShutdown returns the decisions of a host that is stopped now.
func newShutdown(now time.Time, grace time.Duration) *admit.Shutdown {
	return admit.NewShutdown(now.Add(grace - respondMargin))
}

// Stop lets the requests in progress end, and responds to those that can't. It stops listening only after the load
// balancer sends no more connections.
func (f *Front) Stop(now time.Time) {
	grace := f.site.Bounds.Grace
	f.shutdown.Store(newShutdown(now, grace))
	f.draining.Store(true)
	f.server.Drain()
	ctx := context.Background()
	pause.For(ctx, min(rotationTime, grace/2))
	respondBy := now.Add(grace - respondMargin)
	f.awaitIdle(ctx, earlier(respondBy, now.Add(rotationTime+lastRequestTime)))
	f.refusing.Store(true)
	if err := f.server.StopAccepting(time.Now()); err != nil {
		_ = f.logger.Log("event", "still-accepting", "reason", err)
	}
	f.awaitClosed(ctx, respondBy)
	unanswered := f.server.Unanswered()
	f.endRequests()
	exitBy := now.Add(grace - exitMargin)
	f.awaitAnswers(ctx, exitBy)
	f.server.DiscardNew() // from now on no request begins that the end of the process would interrupt
	f.awaitAnswers(ctx, exitBy)
	_ = f.logger.Log("event", "requests-ended", "at-the-end", unanswered, "cut", f.server.Unanswered(), "took", time.Since(now).Round(time.Millisecond))
	f.tomb.Kill(nil)
	_ = f.tomb.Wait()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// awaitIdle closes idle connections and waits until no request is in progress, at most until the deadline.
func (f *Front) awaitIdle(ctx context.Context, deadline time.Time) {
	f.await(ctx, deadline, idlePollInterval, func() bool {
		_, busy := f.server.Count()
		return busy == 0
	})
}

// awaitClosed closes idle connections and waits until no caller expects a response, at most until the deadline. A request
// that has arrived by then is answered, also if it has not been read yet.
func (f *Front) awaitClosed(ctx context.Context, deadline time.Time) {
	pause.For(ctx, acceptedTime)
	f.await(ctx, deadline, exitPollInterval, func() bool { return f.server.Open() == 0 })
}

// await closes idle connections until a condition holds, at most until the deadline. Requests that wait for an upstream are
// refused once it could no longer respond in time.
func (f *Front) await(ctx context.Context, deadline time.Time, interval time.Duration, isDone func() bool) {
	for now := time.Now(); now.Before(deadline); now = time.Now() {
		f.refuseLate(now)
		f.server.CloseIdle()
		if isDone() {
			return
		}
		pause.For(ctx, min(interval, deadline.Sub(now)))
	}
}

// awaitAnswers waits until all requests that were read have been responded to, at most until the deadline.
func (f *Front) awaitAnswers(ctx context.Context, deadline time.Time) {
	for f.server.Unanswered() > 0 && time.Now().Before(deadline) {
		pause.For(ctx, exitPollInterval)
	}
}

// refuseLate refuses the requests that wait for upstreams which could not respond before this host has to.
func (f *Front) refuseLate(now time.Time) {
	shutdown := f.shutdown.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		u.refuseLate(now, shutdown)
	}
}

// refuseLate refuses all queued requests once the upstream could not respond to them in time.
func (u *upstream) refuseLate(now time.Time, shutdown *admit.Shutdown) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !shutdown.MayStart(now, u.limiter.Latency()) {
		u.refuseWaiters(stopRefusal)
	}
}

// stopRefusal is the refusal of a request that a stopping host can't serve any more; another host can at once.
var stopRefusal = admit.Refusal{After: minRetryAfter, Reason: "this host is stopping, and would end before the response"}

// mayStart reports whether a request may be sent to an upstream now: while this host stops, only if the upstream is
// likely to respond in time.
func (f *Front) mayStart(now time.Time, u *upstream) bool {
	shutdown := f.shutdown.Load()
	if shutdown == nil {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return shutdown.MayStart(now, u.limiter.Latency())
}

// boundDeadline returns the deadline of a request, and while this host stops, at the latest the time by which this host
// has to respond.
func (f *Front) boundDeadline(deadline time.Time) time.Time {
	if shutdown := f.shutdown.Load(); shutdown != nil {
		return shutdown.Bound(deadline)
	}
	return deadline
}

package disp

import (
	"context"
	"net/http"
	"time"

	"lovagelink.example/lovagelink/pkg/queue"
	"lovagelink.example/lovagelink/pkg/verd"
)

// awaitTurn queues a request until it may start. It returns false and an outcome if the request may not start.
func (d *Dispatcher) awaitTurn(ctx context.Context, s *ownedSlot, r Request) (Outcome, bool) {
	item, outcome, ok := d.enqueue(time.Now(), s, r)
	if !ok {
		return outcome, false
	}
	select {
	case <-item.Value.ready:
		return d.admitted(s, item)
	case <-s.releaseStarted:
		outcome = notRun(reasonMoved)
	case <-ctx.Done():
		outcome = refused(http.StatusServiceUnavailable, reasonLate, time.Second)
	}
	if d.withdraw(s, item) {
		return outcome, false
	}
	return d.admitted(s, item)
}

// admitted reports whether a dequeued request may start. It returns the refusal of a request that waited too long in an
// overload.
func (d *Dispatcher) admitted(s *ownedSlot, item *queue.Item[*queuedRequest]) (Outcome, bool) {
	if !item.Value.tooLate {
		return Outcome{}, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requestDone(s)
	d.Stats.Refused.Add(1)
	return refused(http.StatusServiceUnavailable, reasonLate, item.Value.maxWait), false
}

// enqueue adds a request to the queue. It returns false and an outcome if the slot accepts no requests or the request
// could not be done in time.
func (d *Dispatcher) enqueue(now time.Time, s *ownedSlot, r Request) (*queue.Item[*queuedRequest], Outcome, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || s.releasing {
		return nil, notRun(reasonMoved), false
	}
	rank := d.rankOf(r)
	wait := d.limiter.estimateWait(d.queue.Ahead(rank))
	maxWait := maxOverloadWait(r)
	isOverloaded := d.overloads[rank].update(now, wait+d.limiter.serviceTime > maxWait)
	if outcome, isLate := d.checkDeadline(r, wait, isOverloaded); isLate {
		d.Stats.Refused.Add(1)
		return nil, outcome, false
	}
	value := &queuedRequest{ready: make(chan struct{}), maxWait: maxWait}
	item := d.queue.Push(now, value, rank, now.Add(r.Left))
	s.active++
	d.startQueued(now)
	return item, Outcome{}, true
}

// checkDeadline refuses a request that could not be done before its deadline or, in an overload, within
// maxOverloadWait. A request that can start at once is held only to its deadline even in an overload: its response
// shows whether the upstream is still as slow as before.
func (d *Dispatcher) checkDeadline(r Request, wait time.Duration, isOverloaded bool) (outcome Outcome, isLate bool) {
	limit := r.Left
	canStartNow := d.running < d.limiter.limit && d.queue.Len() == 0
	if isOverloaded && !canStartNow {
		limit = min(limit, maxOverloadWait(r))
	}
	if wait+d.limiter.serviceTime <= limit {
		return Outcome{}, false
	}
	return refused(http.StatusServiceUnavailable, reasonLate, wait), true
}

func (d *Dispatcher) rankOf(r Request) int { return min(r.Rank, len(d.floors)-1) }

// maxOverloadWait returns the longest time that a request may take in an overload. It leaves a part of the longest
// useful wait for the work and for returning the response.
func maxOverloadWait(r Request) time.Duration { return r.Wait - r.Wait/workMarginDivisor }

// CheckAdmission reports whether a request would be refused now, with the refusal, before the request's body is read.
func (d *Dispatcher) CheckAdmission(r Request) (Outcome, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.unkeyed {
		return Outcome{}, false // requests without keys may be offloaded
	}
	rank := d.rankOf(r)
	outcome, isLate := d.checkDeadline(r, d.limiter.estimateWait(d.queue.Ahead(rank)), d.overloads[rank].active)
	if isLate {
		d.Stats.Refused.Add(1)
	}
	return outcome, isLate
}

// withdraw removes a request from the queue; it reports false if the request has already been dequeued.
func (d *Dispatcher) withdraw(s *ownedSlot, item *queue.Item[*queuedRequest]) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.queue.Remove(item) {
		return false
	}
	d.requestDone(s)
	return true
}

// requestDone counts a request of a slot as ended.
func (d *Dispatcher) requestDone(s *ownedSlot) {
	s.active--
	if s.releasing && s.active == 0 {
		d.wakeGrantLoop()
	}
}

// startQueued starts queued requests up to the concurrency limit.
func (d *Dispatcher) startQueued(now time.Time) {
	if now.Before(d.limiter.pausedUntil) {
		return
	}
	for d.running < d.limiter.limit {
		item := d.queue.Pop()
		if item == nil {
			return
		}
		if d.overloads[item.Rank].active && now.Sub(item.Queued) > item.Value.maxWait {
			item.Value.tooLate = true
		} else {
			d.running++
		}
		close(item.Value.ready)
	}
}

// updateLimiter updates the limiter with the outcome of an attempt.
func (d *Dispatcher) updateLimiter(sentAt, now time.Time, outcome Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case outcome.Verdict == verd.Ran:
		d.limiter.onResponse(sentAt, now.Sub(sentAt))
	case outcome.Status == http.StatusServiceUnavailable:
		d.limiter.onOverload(now)
		time.AfterFunc(overloadPause, d.resumeAfterOverload)
	}
}

// resumeAfterOverload starts queued requests after the pause that follows a refusal for overload.
func (d *Dispatcher) resumeAfterOverload() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startQueued(time.Now())
}

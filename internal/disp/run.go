package disp

import (
	"context"
	"net/http"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/pkg/queue"
	"lovagelink.example/lovagelink/pkg/verd"
)

// The reasons of outcomes that did not run.
const (
	reasonMoved     = "the slot has another owner now"
	reasonLease     = "the dispatcher has no lease"
	reasonGrant     = "the upstream has not confirmed its grant"
	reasonWithdrawn = "the entry host no longer waits for the request"
	reasonLate      = "the deadline would pass before the request is done"
)

// searchPause lies between two questions to other hosts about an earlier request.
const searchPause = 100 * time.Millisecond

// Run carries a request through: history, queue, start, answer.
func (d *Dispatcher) Run(ctx context.Context, r Request) Outcome {
	ctx, cancel := context.WithTimeout(ctx, r.Left)
	defer cancel()
	s, ok := d.shareOf(r.Slot)
	if !ok {
		return notRun(reasonMoved)
	}
	select {
	case <-s.ready:
	case <-s.gone:
		return notRun(reasonMoved)
	case <-ctx.Done():
		return notRun(reasonMoved)
	}
	if r.Idempotent {
		return d.attempt(ctx, s, r)
	}
	return d.runOnce(ctx, s, r)
}

// shareOf counts a request for its slot.
func (d *Dispatcher) shareOf(slot int) (*share, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.shares[slot]
	if s == nil || s.moving || d.closed {
		return nil, false
	}
	s.count++
	return s, true
}

// runOnce joins an earlier request with the same id, or is the first.
func (d *Dispatcher) runOnce(ctx context.Context, s *share, r Request) Outcome {
	if d.stays && r.isRepeat() && !d.trace(ctx, r) {
		return unknown("a zone that is cut off may have run an earlier attempt")
	}
	for {
		one, isFirst := d.Book.begin(time.Now(), r)
		if isFirst && s.mayHide(time.Now(), r) {
			outcome := unknown("the hosts that knew of earlier attempts are lost")
			d.Book.drop(one, outcome)
			return outcome
		}
		if isFirst {
			outcome := d.attempt(ctx, s, r)
			d.Book.finish(one, outcome)
			return outcome
		}
		if outcome, isJoined := d.join(ctx, one, r); isJoined {
			return outcome
		}
	}
}

// trace looks for an earlier attempt of a resent request in the books of all hosts, since a zone that
// was cut off may have served it. It reports false when a host that is needed has not answered.
func (d *Dispatcher) trace(ctx context.Context, r Request) bool {
	if _, known := d.Book.Find(r.Service, r.ID); known {
		return true
	}
	history := d.Historian.Find(ctx, r.Service, r.ID)
	d.Book.Import(time.Now(), history.Notes)
	return len(history.Notes) > 0 || history.Missing <= tolerated && !history.ZoneMissing
}

// join waits for the outcome of an earlier request; isJoined is false when that one has not run and
// is forgotten.
func (d *Dispatcher) join(ctx context.Context, one *record, r Request) (outcome Outcome, isJoined bool) {
	d.Stats.Joined.Add(1)
	if d.Book.isOpen(one) && d.Book.isCleared(one, r) {
		d.Book.forget(one)
		return Outcome{}, false
	}
	_, _ = d.Witness.Start(ctx, r)
	if d.Book.isOpen(one) {
		history := d.search(ctx, one, r)
		switch {
		case !d.Book.isOpen(one):
		case len(history.Notes) == 0 && history.Missing <= tolerated && ctx.Err() == nil:
			d.Book.forget(one)
			return Outcome{}, false
		default:
			return unknown("an earlier attempt was started and its outcome was lost"), true
		}
	}
	select {
	case <-one.done:
	case <-ctx.Done():
		return unknown("an earlier request of this id is still under way"), true
	}
	return d.Book.outcome(one, r), true
}

// search asks the other hosts how an earlier request has ended that one of them has started, as long
// as one still has it under way. A request that has not run is forgotten by the hosts that noted it.
func (d *Dispatcher) search(ctx context.Context, one *record, r Request) History {
	for {
		history := d.Historian.Find(ctx, r.Service, r.ID)
		d.Book.Import(time.Now(), history.Notes)
		isRunning := slices.ContainsFunc(history.Notes, func(note Note) bool { return note.Running })
		if !isRunning || !d.Book.isOpen(one) || ctx.Err() != nil {
			return history
		}
		pause.For(ctx, searchPause)
	}
}

// attempt waits for its turn and sends the request.
func (d *Dispatcher) attempt(ctx context.Context, s *share, r Request) Outcome {
	if outcome, ok := d.await(ctx, s, r); !ok {
		return outcome
	}
	place := turn{d: d, s: s}
	defer place.end()
	if reason := d.obstacle(time.Now(), s); reason != "" {
		return notRun(reason)
	}
	if r.Idempotent {
		return d.sendIdempotent(ctx, s, r)
	}
	noted, err := d.Witness.Start(ctx, r)
	if err != nil {
		return notRun(reasonWithdrawn)
	}
	vigil := d.watch(time.Now(), place.free)
	defer vigil.end()
	outcome := d.sendStarted(ctx, s, r)
	d.Witness.Finished(r, noted, outcome)
	return outcome
}

// sendIdempotent gives a request up once when its answer is overdue, so that it is sent again on
// another connection. Exclusive work in the same place only frees its slot.
func (d *Dispatcher) sendIdempotent(ctx context.Context, s *share, r Request) Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !r.Patient {
		vigil := d.watch(time.Now(), cancel)
		defer vigil.end()
	}
	return d.send(ctx, s, r)
}

// sendStarted sends a request that has been witnessed. It no longer ends with its caller, so that a
// resend finds the outcome.
func (d *Dispatcher) sendStarted(ctx context.Context, s *share, r Request) Outcome {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	if reason := d.obstacle(time.Now(), s); reason != "" {
		return notRun(reason)
	}
	return d.send(ctx, s, r)
}

// await queues a request until it may start; ok is false with the outcome of one that may not.
func (d *Dispatcher) await(ctx context.Context, s *share, r Request) (Outcome, bool) {
	item, outcome, ok := d.enqueue(time.Now(), s, r)
	if !ok {
		return outcome, false
	}
	select {
	case <-item.Value.ready:
		return d.admitted(s, item)
	case <-s.gone:
		outcome = notRun(reasonMoved)
	case <-ctx.Done():
		outcome = refused(http.StatusServiceUnavailable, reasonLate, time.Second)
	}
	if d.withdraw(s, item) {
		return outcome, false
	}
	return d.admitted(s, item)
}

// admitted ends the wait of a request whose turn has come; in an overload it may have come too late.
func (d *Dispatcher) admitted(s *share, item *queue.Item[*waiting]) (Outcome, bool) {
	if !item.Value.late {
		return Outcome{}, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rest(s)
	d.Stats.Refused.Add(1)
	return refused(http.StatusServiceUnavailable, reasonLate, item.Value.wait), false
}

// enqueue refuses at once what could not be done in time.
func (d *Dispatcher) enqueue(now time.Time, s *share, r Request) (*queue.Item[*waiting], Outcome, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || s.moving {
		return nil, notRun(reasonMoved), false
	}
	rank := d.rankOf(r)
	wait := d.pace.wait(d.queue.Ahead(rank))
	useful := usefulWait(r)
	isBehind := d.behind[rank].update(now, wait+d.pace.service > useful)
	if outcome, isLate := d.judge(r, wait, isBehind); isLate {
		d.Stats.Refused.Add(1)
		return nil, outcome, false
	}
	value := &waiting{ready: make(chan struct{}), wait: useful}
	item := d.queue.Push(now, value, rank, now.Add(r.Left))
	s.active++
	d.pump(now)
	return item, Outcome{}, true
}

// judge refuses what could not be done in time; in an overload only the useful wait counts.
func (d *Dispatcher) judge(r Request, wait time.Duration, isBehind bool) (outcome Outcome, isLate bool) {
	limit := r.Left
	if isBehind {
		limit = min(limit, usefulWait(r))
	}
	if wait+d.pace.service <= limit {
		return Outcome{}, false
	}
	return refused(http.StatusServiceUnavailable, reasonLate, wait), true
}

func (d *Dispatcher) rankOf(r Request) int { return min(r.Rank, len(d.floors)-1) }

// usefulWait is the longest wait in an overload that leaves time for the work and the way back.
func usefulWait(r Request) time.Duration { return r.Wait - r.Wait/waitMargin }

// Refuses tells before the body of a request is read whether it would be refused at present.
func (d *Dispatcher) Refuses(r Request) (Outcome, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return Outcome{}, false
	}
	rank := d.rankOf(r)
	outcome, isLate := d.judge(r, d.pace.wait(d.queue.Ahead(rank)), d.behind[rank].on)
	if isLate {
		d.Stats.Refused.Add(1)
	}
	return outcome, isLate
}

// withdraw takes a request out of the queue; it reports false when its turn has just come.
func (d *Dispatcher) withdraw(s *share, item *queue.Item[*waiting]) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.queue.Remove(item) {
		return false
	}
	d.rest(s)
	return true
}

// rest counts a request of a slot as ended.
func (d *Dispatcher) rest(s *share) {
	s.active--
	if s.moving && s.active == 0 {
		d.rouse()
	}
}

// pump starts what may start.
func (d *Dispatcher) pump(now time.Time) {
	if now.Before(d.pace.hold) {
		return
	}
	for d.running < d.pace.limit {
		item := d.queue.Pop()
		if item == nil {
			return
		}
		if d.behind[item.Rank].on && now.Sub(item.Queued) > item.Value.wait {
			item.Value.late = true
		} else {
			d.running++
		}
		close(item.Value.ready)
	}
}

// obstacle says why a request can't be sent at the present time, or "".
func (d *Dispatcher) obstacle(now time.Time, s *share) string {
	if !now.Before(d.Lease.LeaseUntil()) {
		return reasonLease
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case s.moving:
		return reasonMoved
	case !d.grant.covers(now, s):
		return reasonGrant
	}
	return ""
}

// settlePace takes in how an attempt went.
func (d *Dispatcher) settlePace(began, now time.Time, outcome Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case outcome.Verdict == verd.Ran:
		d.pace.answered(began, now.Sub(began))
	case outcome.Status == http.StatusServiceUnavailable:
		d.pace.shed(now)
		time.AfterFunc(shedPause, d.resume)
	}
}

// resume starts what a shed upstream has held up.
func (d *Dispatcher) resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pump(time.Now())
}

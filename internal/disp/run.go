package disp

import (
	"context"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/pause"
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
	s, ok := d.shareOf(r)
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
	switch {
	case r.Offloaded:
		return d.runOffloaded(ctx, s, r)
	case r.Idempotent:
		return d.attempt(ctx, s, r)
	}
	return d.runOnce(ctx, s, r)
}

// shareOf counts a request for its slot.
func (d *Dispatcher) shareOf(r Request) (*share, bool) {
	slot := r.Slot
	if r.AnyUpstream {
		slot = AnySlot
	}
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
		now := time.Now()
		one, isFirst := d.Dedup.begin(now, r)
		if isFirst {
			return d.runFirst(ctx, now, s, one, r)
		}
		if outcome, isJoined := d.join(ctx, one, r); isJoined {
			return outcome
		}
	}
}

// runFirst carries out a request that the book did not know, unless it may have been started all the same.
func (d *Dispatcher) runFirst(ctx context.Context, now time.Time, s *share, one *record, r Request) Outcome {
	if reason := d.doubt(now, s, r); reason != "" {
		outcome := unknown(reason)
		d.Dedup.drop(one, outcome)
		return outcome
	}
	outcome := d.attempt(ctx, s, r)
	d.Dedup.finish(one, outcome)
	return outcome
}

// doubt says why a request that the book does not know may have been started all the same, or "".
func (d *Dispatcher) doubt(now time.Time, s *share, r Request) string {
	switch {
	case s.mayHide(now, r):
		return "the hosts that knew of earlier attempts are lost"
	case d.Dedup.isForgotten(now, r):
		return "an earlier attempt would be forgotten by now"
	}
	return ""
}

// trace looks for an earlier attempt of a resent request in the books of all hosts, since a zone that
// was cut off may have served it. It reports false when a host that is needed has not answered.
func (d *Dispatcher) trace(ctx context.Context, r Request) bool {
	if _, known := d.Dedup.Find(r.Service, r.Slot, r.ID); known {
		return true
	}
	history := d.HistorySource.FindHistory(ctx, r)
	d.Dedup.Import(time.Now(), history.Records)
	return len(history.Records) > 0 || history.Missing <= tolerated && !history.ZoneMissing
}

// join waits for the outcome of an earlier request; isJoined is false when that one has not run and
// is forgotten.
func (d *Dispatcher) join(ctx context.Context, one *record, r Request) (outcome Outcome, isJoined bool) {
	d.Stats.Joined.Add(1)
	if d.Dedup.isOpen(one) && d.Dedup.isCleared(one, r) {
		d.Dedup.forget(one)
		return Outcome{}, false
	}
	_, _ = d.Recorder.RecordStart(ctx, r)
	if d.Dedup.isOpen(one) {
		history := d.search(ctx, one, r)
		switch {
		case !d.Dedup.isOpen(one):
		case len(history.Records) == 0 && history.Missing <= tolerated && ctx.Err() == nil:
			d.Dedup.forget(one)
			return Outcome{}, false
		default:
			return unknown("an earlier attempt was started and its outcome was lost"), true
		}
	}
	return d.awaitOutcome(ctx, one, r), true
}

// awaitOutcome waits until a record that a task on this host settles is settled.
func (d *Dispatcher) awaitOutcome(ctx context.Context, one *record, r Request) Outcome {
	select {
	case <-d.Dedup.done(one):
		return d.Dedup.outcome(one, r)
	case <-ctx.Done():
		return unknown("an earlier request of this id is still under way")
	}
}

// search asks the other hosts how an earlier request has ended that one of them has started, as long
// as one still has it under way. A request that has not run is forgotten by the hosts that noted it.
func (d *Dispatcher) search(ctx context.Context, one *record, r Request) History {
	for {
		history := d.HistorySource.FindHistory(ctx, r)
		d.Dedup.Import(time.Now(), history.Records)
		isRunning := slices.ContainsFunc(history.Records, func(note Record) bool { return note.Running })
		if !isRunning || !d.Dedup.isOpen(one) || ctx.Err() != nil {
			return history
		}
		pause.For(ctx, searchPause)
	}
}

// attempt offloads the request, or waits for its turn and sends it.
func (d *Dispatcher) attempt(ctx context.Context, s *share, r Request) Outcome {
	if outcome, isOffloaded := d.offload(ctx, s, r); isOffloaded {
		return outcome
	}
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
	noted, err := d.Recorder.RecordStart(ctx, r)
	if err != nil {
		return notRun(reasonWithdrawn)
	}
	d.Dedup.share(r, noted.Host)
	vigil := d.watch(time.Now(), place.free)
	defer vigil.end()
	outcome := d.sendStarted(ctx, s, r, noted.Until)
	d.Recorder.RecordOutcome(r, noted.Host, outcome)
	return outcome
}

// sendIdempotent gives a request up once when its answer is overdue, so that it is sent again on
// another connection. Exclusive work in the same place only frees its slot.
func (d *Dispatcher) sendIdempotent(ctx context.Context, s *share, r Request) Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !r.OverdueRetry {
		vigil := d.watch(time.Now(), cancel)
		defer vigil.end()
	}
	return d.send(ctx, s, r, time.Time{})
}

// sendStarted sends a request that has been witnessed. It no longer ends with its caller, so that a
// resend finds the outcome.
func (d *Dispatcher) sendStarted(ctx context.Context, s *share, r Request, until time.Time) Outcome {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	now := time.Now()
	if reason := d.obstacle(now, s); reason != "" {
		return notRun(reason)
	}
	if !until.IsZero() && !now.Before(until) {
		return notRun(reasonLease)
	}
	return d.send(ctx, s, r, until)
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

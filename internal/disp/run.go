package disp

import (
	"context"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/pause"
)

// Reasons of outcomes whose request has not run.
const (
	reasonMoved     = "the slot has another owner now"
	reasonLease     = "the dispatcher has no lease"
	reasonGrant     = "the upstream has not confirmed its grant"
	reasonWithdrawn = "the entry host no longer waits for the request"
	reasonLate      = "the deadline would pass before the request is done"
)

// historyPollInterval is the interval between two queries to other hosts about an earlier request.
const historyPollInterval = 100 * time.Millisecond

// Run runs a request: it waits for the history of the slot and for the request's turn in the queue, sends the request
// and returns the outcome.
func (d *Dispatcher) Run(ctx context.Context, r Request) Outcome {
	ctx, cancel := context.WithTimeout(ctx, r.Left)
	defer cancel()
	s, ok := d.slotFor(r)
	if !ok {
		return notRun(reasonMoved)
	}
	select {
	case <-s.ready:
	case <-s.releaseStarted:
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
	return d.runNonIdempotent(ctx, s, r)
}

// slotFor returns the slot of a request and counts the request; the result is false if the slot accepts no requests.
func (d *Dispatcher) slotFor(r Request) (*ownedSlot, bool) {
	slot := r.Slot
	if r.AnyUpstream {
		slot = AnySlot
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.slots[slot]
	if s == nil || s.releasing || d.closed {
		return nil, false
	}
	s.count++
	return s, true
}

// runNonIdempotent joins an earlier request with the same id, or runs the request as the first one of its id.
func (d *Dispatcher) runNonIdempotent(ctx context.Context, s *ownedSlot, r Request) Outcome {
	if d.zoneBound && r.isRepeat() && !d.searchEarlierAttempt(ctx, r) {
		return unknown("a zone that is cut off may have run an earlier attempt")
	}
	for {
		now := time.Now()
		entry, isFirst := d.Dedup.begin(now, r)
		if isFirst {
			return d.runFirst(ctx, now, s, entry, r)
		}
		if outcome, isJoined := d.joinEarlier(ctx, entry, r); isJoined {
			return outcome
		}
	}
}

// runFirst runs a request that had no entry in the deduplication table, unless the request may have been started
// before nevertheless.
func (d *Dispatcher) runFirst(ctx context.Context, now time.Time, s *ownedSlot, entry *dedupEntry, r Request) Outcome {
	if reason := d.earlierStartReason(now, s, r); reason != "" {
		outcome := unknown(reason)
		d.Dedup.abandon(entry, outcome)
		return outcome
	}
	outcome := d.attempt(ctx, s, r)
	d.Dedup.finish(entry, outcome)
	return outcome
}

// earlierStartReason returns why a request without an earlier entry in the deduplication table may have been started
// before nevertheless, or "" if it has not.
func (d *Dispatcher) earlierStartReason(now time.Time, s *ownedSlot, r Request) string {
	switch {
	case s.mayHaveUnknownAttempt(now, r):
		return "the hosts that knew of earlier attempts are lost"
	case d.Dedup.mayHaveEvicted(now, r):
		return "an earlier attempt would be forgotten by now"
	}
	return ""
}

// searchEarlierAttempt looks for an earlier attempt of a resent request in the deduplication tables of all hosts, since
// a zone that was cut off may have served it. It reports whether the search was conclusive: it found an attempt, or
// enough hosts replied, with at least one of each zone.
func (d *Dispatcher) searchEarlierAttempt(ctx context.Context, r Request) bool {
	if _, isFound := d.Dedup.Find(r.Service, r.Slot, r.ID); isFound {
		return true
	}
	history := d.HistorySource.FindHistory(ctx, r)
	d.Dedup.Import(time.Now(), history.Records)
	return len(history.Records) > 0 || history.Missing <= maxMissingHosts && !history.ZoneMissing
}

// joinEarlier waits for the outcome of an earlier request with the same id. isJoined is false if the earlier request
// has not run; its entry is then removed.
func (d *Dispatcher) joinEarlier(ctx context.Context, entry *dedupEntry, r Request) (outcome Outcome, isJoined bool) {
	d.Stats.Joined.Add(1)
	if d.Dedup.isUnresolved(entry) && d.Dedup.isKnownNotRun(entry, r) {
		d.Dedup.removeUnresolved(entry)
		return Outcome{}, false
	}
	// Marks the attempt as started, so that its entry host does not report not-run if it loses this outcome.
	_, _ = d.Recorder.RecordStart(ctx, r)
	if d.Dedup.isUnresolved(entry) {
		history := d.pollHistory(ctx, entry, r)
		switch {
		case !d.Dedup.isUnresolved(entry):
		case len(history.Records) == 0 && history.Missing <= maxMissingHosts && ctx.Err() == nil:
			d.Dedup.removeUnresolved(entry)
			return Outcome{}, false
		default:
			return unknown("an earlier attempt was started and its outcome was lost"), true
		}
	}
	return d.awaitOutcome(ctx, entry, r), true
}

// awaitOutcome waits for the outcome of an entry whose request runs on this host.
func (d *Dispatcher) awaitOutcome(ctx context.Context, entry *dedupEntry, r Request) Outcome {
	select {
	case <-d.Dedup.done(entry):
		return d.Dedup.outcome(entry, r)
	case <-ctx.Done():
		return unknown("an earlier request of this id is still under way")
	}
}

// pollHistory asks the other hosts for the outcome of an earlier request that one of them started, until the outcome
// is known or no host reports the request as running. Hosts remove their records of a request that has not run.
func (d *Dispatcher) pollHistory(ctx context.Context, entry *dedupEntry, r Request) History {
	for {
		history := d.HistorySource.FindHistory(ctx, r)
		d.Dedup.Import(time.Now(), history.Records)
		isRunning := slices.ContainsFunc(history.Records, func(record Record) bool { return record.Running })
		if !isRunning || !d.Dedup.isUnresolved(entry) || ctx.Err() != nil {
			return history
		}
		pause.For(ctx, historyPollInterval)
	}
}

// attempt offloads the request, or waits for its turn in the queue and sends it.
func (d *Dispatcher) attempt(ctx context.Context, s *ownedSlot, r Request) Outcome {
	if outcome, isOffloaded := d.offload(ctx, s, r); isOffloaded {
		return outcome
	}
	if outcome, ok := d.awaitTurn(ctx, s, r); !ok {
		return outcome
	}
	running := runningRequest{d: d, s: s}
	defer running.end()
	if reason := d.blockingReason(time.Now(), s); reason != "" {
		return notRun(reason)
	}
	if r.Idempotent {
		return d.sendIdempotent(ctx, s, r)
	}
	ack, err := d.Recorder.RecordStart(ctx, r)
	if err != nil {
		return notRun(reasonWithdrawn)
	}
	d.Dedup.setPeer(r, ack.Host)
	watch := d.watchOverdue(time.Now(), running.releaseConcurrency)
	defer watch.stop()
	outcome := d.sendRecorded(ctx, s, r, ack.Until)
	d.Recorder.RecordOutcome(r, ack.Host, outcome)
	return outcome
}

// sendIdempotent cancels a request whose response is overdue, so that the request is sent again on another connection;
// such a retry is not cancelled again. A non-idempotent request whose response is overdue continues, and only stops
// counting against the concurrency limit.
func (d *Dispatcher) sendIdempotent(ctx context.Context, s *ownedSlot, r Request) Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !r.OverdueRetry {
		watch := d.watchOverdue(time.Now(), cancel)
		defer watch.stop()
	}
	return d.send(ctx, s, r, time.Time{})
}

// sendRecorded sends a request whose start has been recorded. The request is not cancelled when its caller
// goes away, so that a resend finds the outcome.
func (d *Dispatcher) sendRecorded(ctx context.Context, s *ownedSlot, r Request, startBy time.Time) Outcome {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	now := time.Now()
	if reason := d.blockingReason(now, s); reason != "" {
		return notRun(reason)
	}
	if !startBy.IsZero() && !now.Before(startBy) {
		return notRun(reasonLease)
	}
	return d.send(ctx, s, r, startBy)
}

// blockingReason returns why a request of the slot can't be sent now, or "".
func (d *Dispatcher) blockingReason(now time.Time, s *ownedSlot) string {
	if !now.Before(d.Lease.LeaseUntil()) {
		return reasonLease
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case s.releasing:
		return reasonMoved
	case !d.grant.covers(now, s):
		return reasonGrant
	}
	return ""
}

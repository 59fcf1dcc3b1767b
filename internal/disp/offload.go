package disp

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/pkg/verd"
)

// Bounds of offloading work of a service without keys to another upstream.
const (
	offloadPart = 4 // work is offered once it is expected to take this part of its useful wait
	offloadGain = 2 // times that another upstream must be faster
)

// Estimate is how long a request would take at an upstream, and how much each further one adds.
type Estimate struct {
	Total time.Duration `json:"total"`
	Each  time.Duration `json:"each"`
}

// IsFaster reports whether work is worth offloading to an upstream from one with another expectation.
func (e Estimate) IsFaster(other Estimate) bool { return offloadGain*e.Total <= other.Total }

// Target is where a request is offloaded to.
type Target struct {
	Upstream string
	Host     string
}

// Permit says until when an offloaded request may be started; ok is false when it may not be.
type Permit func(now time.Time) (until time.Time, ok bool)

// Offloader finds other upstreams for work of a service without keys, and has them do it.
type Offloader interface {
	FindFaster(ctx context.Context, r Request, here Estimate) (Target, bool)
	Offload(ctx context.Context, target Target, r Request, permit Permit) Outcome
}

// offload has another upstream do what would take long here. The record of an exclusive request stays here,
// where a resend finds it. It reports false when the request has not run and has to wait here.
func (d *Dispatcher) offload(ctx context.Context, s *share, r Request) (Outcome, bool) {
	here, isLong := d.offers(time.Now(), r)
	if !isLong {
		return Outcome{}, false
	}
	target, ok := d.Offloader.FindFaster(ctx, r, here)
	if !ok {
		return Outcome{}, false
	}
	if r.Idempotent {
		outcome := d.Offloader.Offload(ctx, target, r, nil)
		return outcome, outcome.Verdict != verd.NotRun
	}
	noted, err := d.Recorder.RecordStart(ctx, r)
	if err != nil {
		return notRun(reasonWithdrawn), true
	}
	d.Dedup.share(r, noted.Host)
	outcome := d.Offloader.Offload(ctx, target, r, d.permitOf(s))
	if outcome.Verdict == verd.NotRun {
		return Outcome{}, false
	}
	if outcome.Verdict == verd.MayHaveRun {
		outcome = d.findOutcome(ctx, r, outcome)
	}
	d.Recorder.RecordOutcome(r, noted.Host, outcome)
	return outcome, true
}

// findOutcome asks the other hosts how an offloaded request has ended whose answer was lost on the way, as
// long as one of them has it under way.
func (d *Dispatcher) findOutcome(ctx context.Context, r Request, lost Outcome) Outcome {
	for ctx.Err() == nil {
		isRunning := false
		for _, note := range d.HistorySource.FindHistory(ctx, r).Records {
			if note.Outcome != nil {
				return *note.Outcome
			}
			isRunning = isRunning || note.Running
		}
		if !isRunning {
			return lost
		}
		pause.For(ctx, searchPause)
	}
	return lost
}

// offers reports whether a request would take so long here that others are asked.
func (d *Dispatcher) offers(now time.Time, r Request) (here Estimate, isLong bool) {
	if !d.free || r.AnyUpstream {
		return Estimate{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	isUnproved := d.running == 0 && d.pace.isStale(now) // one request shows how fast the upstream is now
	here = d.expectLocked(r.Rank)
	return here, !isUnproved && here.Total > r.Wait/offloadPart
}

// permitOf lets an offloaded request start only while this dispatcher may start requests of the slot itself, so
// that the next one finds it among those that are under way.
func (d *Dispatcher) permitOf(s *share) Permit {
	return func(now time.Time) (time.Time, bool) {
		lease := d.Lease.LeaseUntil()
		d.mu.Lock()
		defer d.mu.Unlock()
		return lease, now.Before(lease) && !d.closed && !s.moving
	}
}

// Estimate tells how long offloaded work of a rank would take here; ok is false when none is taken.
func (d *Dispatcher) Estimate(now time.Time, rank int) (expected Estimate, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.shares[AnySlot]
	if d.closed || s == nil || s.moving || !s.isReady() || d.grant.draining || !d.grant.covers(now, s) {
		return Estimate{}, false
	}
	return d.expectLocked(rank), true
}

// expectLocked counts the work ahead and the request itself; the lock is held.
func (d *Dispatcher) expectLocked(rank int) Estimate {
	ahead := d.queue.Ahead(min(rank, len(d.floors)-1))
	if d.running >= d.pace.limit {
		ahead++
	}
	return Estimate{Total: d.pace.wait(ahead) + d.pace.service, Each: d.pace.wait(1)}
}

// runOffloaded carries out a request that another dispatcher has offloaded. That one has looked for earlier attempts
// already, and on the same host its record is the only one.
func (d *Dispatcher) runOffloaded(ctx context.Context, s *share, r Request) Outcome {
	if r.Idempotent || r.Origin == d.Host {
		return d.attempt(ctx, s, r)
	}
	one, isTaken := d.Dedup.take(time.Now(), r)
	if !isTaken {
		return d.awaitOutcome(ctx, one, r)
	}
	outcome := d.attempt(ctx, s, r)
	d.Dedup.finish(one, outcome)
	return outcome
}

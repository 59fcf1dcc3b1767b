package disp

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/pkg/verd"
)

// Conditions for offloading a request of a service without keys to another upstream.
const (
	offloadThresholdDivisor = 4 // offload if the estimate exceeds the longest useful wait divided by this
	minOffloadSpeedup       = 2 // factor by which another upstream must be faster
)

// Estimate is the estimated latency of a request at an upstream, and how much each further request adds.
type Estimate struct {
	Total time.Duration `json:"total"`
	Each  time.Duration `json:"each"`
}

// IsFaster reports whether an upstream with estimate e is enough faster than one with estimate other to offload to it.
func (e Estimate) IsFaster(other Estimate) bool { return minOffloadSpeedup*e.Total <= other.Total }

// Target is the upstream that a request is offloaded to, and the host that dispatches for it.
type Target struct {
	Upstream string
	Host     string
}

// Permit returns until when an offloaded request may be started; ok is false if it may not be started.
type Permit func(now time.Time) (until time.Time, ok bool)

// Offloader finds faster upstreams for requests of a service without keys, and offloads requests to them.
type Offloader interface {
	FindFaster(ctx context.Context, r Request, local Estimate) (Target, bool)
	Offload(ctx context.Context, target Target, r Request, permit Permit) Outcome
}

// offload runs a request that would take long here on another upstream. The entry of a non-idempotent request stays in
// the deduplication table here, where a resend finds it. offload reports false if the request has not run and must wait
// for its turn here.
func (d *Dispatcher) offload(ctx context.Context, s *ownedSlot, r Request) (Outcome, bool) {
	local, isLong := d.wantsOffload(time.Now(), r)
	if !isLong {
		return Outcome{}, false
	}
	target, ok := d.Offloader.FindFaster(ctx, r, local)
	if !ok {
		return Outcome{}, false
	}
	if r.Idempotent {
		outcome := d.Offloader.Offload(ctx, target, r, nil)
		return outcome, outcome.Verdict != verd.NotRun
	}
	ack, err := d.Recorder.RecordStart(ctx, r)
	if err != nil {
		return notRun(reasonWithdrawn), true
	}
	d.Dedup.setPeer(r, ack.Host)
	outcome := d.Offloader.Offload(ctx, target, r, d.permitFor(s))
	if outcome.Verdict == verd.NotRun {
		return Outcome{}, false
	}
	if outcome.Verdict == verd.MayHaveRun {
		outcome = d.findOutcome(ctx, r, outcome)
	}
	d.Recorder.RecordOutcome(r, ack.Host, outcome)
	return outcome, true
}

// findOutcome asks the other hosts for the outcome of an offloaded request whose response was lost, until a host
// reports the outcome or no host reports the request as running. It returns lost if no outcome is found.
func (d *Dispatcher) findOutcome(ctx context.Context, r Request, lost Outcome) Outcome {
	for ctx.Err() == nil {
		isRunning := false
		for _, record := range d.HistorySource.FindHistory(ctx, r).Records {
			if record.Outcome != nil {
				return *record.Outcome
			}
			isRunning = isRunning || record.Running
		}
		if !isRunning {
			return lost
		}
		pause.For(ctx, historyPollInterval)
	}
	return lost
}

// wantsOffload reports whether a request would take so long here that it should be offloaded, with the estimate.
func (d *Dispatcher) wantsOffload(now time.Time, r Request) (local Estimate, isLong bool) {
	if !d.unkeyed || r.AnyUpstream {
		return Estimate{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	isStale := d.running == 0 && d.limiter.isStale(now) // run one request here to measure the upstream again
	local = d.estimateLocked(r.Rank)
	return local, !isStale && local.Total > r.Wait/offloadThresholdDivisor
}

// permitFor returns a permit that lets an offloaded request start only while this dispatcher may start requests of the
// slot itself, so that the next dispatcher finds the request among those that are running.
func (d *Dispatcher) permitFor(s *ownedSlot) Permit {
	return func(now time.Time) (time.Time, bool) {
		lease := d.Lease.LeaseUntil()
		d.mu.Lock()
		defer d.mu.Unlock()
		return lease, now.Before(lease) && !d.closed && !s.releasing
	}
}

// Estimate returns how long an offloaded request of a rank would take here; ok is false if none is accepted.
func (d *Dispatcher) Estimate(now time.Time, rank int) (estimate Estimate, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.slots[AnySlot]
	if d.closed || s == nil || s.releasing || !s.isReady() || d.grant.draining || !d.grant.covers(now, s) {
		return Estimate{}, false
	}
	return d.estimateLocked(rank), true
}

// estimateLocked estimates the latency of a request from the requests ahead of it and its own service time; the caller
// holds the lock.
func (d *Dispatcher) estimateLocked(rank int) Estimate {
	ahead := d.queue.Ahead(min(rank, len(d.floors)-1))
	if d.running >= d.limiter.limit {
		ahead++
	}
	return Estimate{Total: d.limiter.estimateWait(ahead) + d.limiter.serviceTime, Each: d.limiter.estimateWait(1)}
}

// runOffloaded runs a request that another dispatcher has offloaded. That dispatcher has already looked for earlier
// attempts. If it runs on this host, its entry in the deduplication table serves for both.
func (d *Dispatcher) runOffloaded(ctx context.Context, s *ownedSlot, r Request) Outcome {
	if r.Idempotent || r.Origin == d.Host {
		return d.attempt(ctx, s, r)
	}
	entry, isFirst := d.Dedup.beginOffloaded(time.Now(), r)
	if !isFirst {
		return d.awaitOutcome(ctx, entry, r)
	}
	outcome := d.attempt(ctx, s, r)
	d.Dedup.finish(entry, outcome)
	return outcome
}

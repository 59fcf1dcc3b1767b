package admit

import (
	"time"

	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/pkg/queue"
)

// Ranks is the number of ranks that the queue distinguishes; requests of higher rank numbers are queued in the last
// rank.
const Ranks = 8

// The concurrency limit is the number of requests that this host may have in flight to one upstream. Other hosts send
// to the upstream too, so the limit of each host can be a small fraction of one slot; it then bounds the rate of
// requests.
const (
	minLimit         = 0.05
	initialLatency   = 100 * time.Millisecond // assumed until the first response
	latencyWeight    = 0.2                    // weight of the newest response in the average latency
	limitIncrease    = 0.25                   // added to the limit on a response that reports a short queue or no load
	queueDecrease    = 0.75                   // factor of the limit on a response that reports a long queue
	overloadDecrease = 0.5                    // factor of the limit when the upstream sheds a request
)

// The estimated wait and latency may use only a share of the time until the latency target and until the caller's
// deadline; the rest covers what the estimate does not include, such as other hosts' requests. In a flood, using the
// whole time until the target leaves a third as many requests on target as using three quarters (DESIGN.md, Load).
const (
	targetShare = 0.75
	callerShare = 0.85
)

// Limiter queues requests to one upstream and bounds how many are in flight; the most urgent ones go first.
type Limiter[T any] struct {
	slots     int
	limit     float64
	inFlight  int
	latency   time.Duration
	nextStart time.Time // earliest time of the next request while the limit is below 1, or after an overload
	queue     *queue.Queue[T]
	load      calls.Load
	loadAt    time.Time
}

// NewLimiter returns a limiter for an upstream with a number of slots.
func NewLimiter[T any](slots int) *Limiter[T] {
	return &Limiter[T]{slots: max(1, slots), limit: float64(max(1, slots)), queue: queue.New[T](make([]float64, Ranks)...)}
}

// Refusal reports that a request can't be served in time, after what time to retry, and why.
type Refusal struct {
	After  time.Duration
	Reason string
}

// Enqueue queues a request with a latency target and its caller's deadline. A request that is estimated to be late is
// refused at once rather than after it has waited. A wait of up to half the average latency counts as on target, so
// that a request that is late already can still be queued if it is expected to meet the deadline.
func (l *Limiter[T]) Enqueue(now time.Time, value T, rank int, target, deadline time.Time) (*queue.Item[T], *Refusal) {
	rank = min(max(rank, 0), Ranks-1)
	wait := l.estimateWait(now, rank)
	latency := l.Latency()
	onTarget := time.Duration(targetShare*float64(target.Sub(now))) - latency
	inTime := time.Duration(callerShare*float64(deadline.Sub(now))) - latency
	if wait > 0 && (wait > max(onTarget, latency/2) || wait > inTime) {
		return nil, &Refusal{After: wait, Reason: "overload: it would be late"}
	}
	return l.queue.Push(now, value, rank, deadline), nil
}

// estimateWait returns how long a new request of a rank would wait in the queue.
func (l *Limiter[T]) estimateWait(now time.Time, rank int) time.Duration {
	ahead := float64(l.queue.Ahead(rank))
	if l.limit >= 1 {
		ahead += float64(l.inFlight) - l.limit + 1
	}
	if ahead <= 0 && !now.Before(l.nextStart) {
		return 0
	}
	interval := time.Duration(float64(l.Latency()) / max(l.limit, minLimit))
	return time.Duration(max(ahead, 0)*float64(interval)) + max(l.nextStart.Sub(now), 0)
}

// Dequeue removes and returns the request to send now. If there is none, it returns nil and the time at which to call
// it again, zero if that is after the next response.
func (l *Limiter[T]) Dequeue(now time.Time) (*queue.Item[T], time.Time) {
	if l.queue.Len() == 0 || l.inFlight >= max(1, int(l.limit)) {
		return nil, time.Time{}
	}
	if now.Before(l.nextStart) {
		return nil, l.nextStart
	}
	item := l.queue.Pop()
	l.inFlight++
	if l.limit < 1 {
		l.nextStart = now.Add(time.Duration(float64(l.Latency()) / l.limit))
	}
	return item, time.Time{}
}

// Withdraw removes a queued request; it reports whether the request was still queued.
func (l *Limiter[T]) Withdraw(item *queue.Item[T]) bool { return l.queue.Remove(item) }

// WithdrawAll removes and returns all queued requests.
func (l *Limiter[T]) WithdrawAll() (items []*queue.Item[T]) {
	for l.queue.Len() > 0 {
		items = append(items, l.queue.Pop())
	}
	return items
}

// OnResponse records a response of the upstream, its latency, and the reported load if hasLoad is true.
func (l *Limiter[T]) OnResponse(now time.Time, latency time.Duration, load calls.Load, hasLoad bool) {
	l.inFlight--
	if l.latency == 0 {
		l.latency = latency
	}
	l.latency += time.Duration(latencyWeight * float64(latency-l.latency))
	if !hasLoad {
		l.limit = min(l.limit+limitIncrease, float64(l.slots+1))
		return
	}
	l.load, l.loadAt = load, now
	switch {
	case load.Waiting > l.slots:
		l.limit = max(l.limit*queueDecrease, minLimit)
	case load.Waiting <= l.slots/2:
		l.limit = min(l.limit+limitIncrease, float64(l.slots+1))
	}
}

// OnOverload records that the upstream shed a request for overload.
func (l *Limiter[T]) OnOverload(now time.Time) {
	l.inFlight--
	l.limit = max(l.limit*overloadDecrease, minLimit)
	l.nextStart = now.Add(l.Latency())
}

// OnFailure records a request without a response, which changes neither the limit nor the latency.
func (l *Limiter[T]) OnFailure() { l.inFlight-- }

// Busy returns how many requests are in flight and how many are queued.
func (l *Limiter[T]) Busy() (inFlight, waiting int) { return l.inFlight, l.queue.Len() }

// Latency returns the average latency of the upstream.
func (l *Limiter[T]) Latency() time.Duration {
	if l.latency == 0 {
		return initialLatency
	}
	return l.latency
}

// loadTTL is how long the load that an upstream reported is used in cost estimates.
const loadTTL = 500 * time.Millisecond

// Cost estimates the latency of a request that is sent to this upstream now.
func (l *Limiter[T]) Cost(now time.Time) time.Duration {
	busy := float64(l.inFlight + l.queue.Len())
	if now.Sub(l.loadAt) < loadTTL {
		busy = max(busy, float64(l.load.Running+l.load.Waiting))
	}
	over := max(0, busy+1-float64(l.slots))
	return time.Duration(float64(l.Latency()) * (1 + over/float64(l.slots)))
}

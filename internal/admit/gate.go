package admit

import (
	"time"

	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/pkg/queue"
)

// Ranks is the number of ranks of urgency that are told apart; less urgent ones count as the last.
const Ranks = 8

// Bounds of the window, in requests at a time of this host to one upstream. Other hosts send to it too, so each can
// be left with a small part of one slot.
const (
	leastWindow = 0.05
	firstTook   = 100 * time.Millisecond // assumed until an answer has come
	tookWeight  = 0.2                    // of the newest answer in the average
	opening     = 0.25                   // by which an answer of an upstream with room widens the window
	narrowing   = 0.75                   // of an answer of one with a queue
	shedding    = 0.5                    // of a refusal for lack of room
)

// Of the time in which an answer is on target, and of that for which a caller waits, a part may be spent on the estimated
// wait and the work; the rest is for what the estimate does not see, such as other hosts' requests. In a flood the whole
// time on target leaves a third as many on target as three quarters of it (DESIGN.md, Load).
const (
	targetShare = 0.75
	callerShare = 0.85
)

// Limiter lets requests through to one upstream: some at a time, the most urgent first.
type Limiter[T any] struct {
	slots    int
	window   float64
	inFlight int
	took     time.Duration
	next     time.Time // before which a window below one request holds the next one back
	queue    *queue.Queue[T]
	load     calls.Load
	loadAt   time.Time
}

// NewLimiter returns a gate to an upstream with a number of slots.
func NewLimiter[T any](slots int) *Limiter[T] {
	return &Limiter[T]{slots: max(1, slots), window: float64(max(1, slots)), queue: queue.New[T](make([]float64, Ranks)...)}
}

// Refusal says that a request can't be served in time, and when to come back.
type Refusal struct {
	After time.Duration
}

// Enqueue queues a request that is on target until target and that its caller waits for until deadline, or refuses it:
// one that is estimated to be late is refused at once rather than after it has waited. One that is late already is
// queued as long as its caller waits.
func (g *Limiter[T]) Enqueue(now time.Time, value T, rank int, target, deadline time.Time) (*queue.Item[T], *Refusal) {
	rank = min(max(rank, 0), Ranks-1)
	wait := g.wait(now, rank)
	took := g.Latency()
	onTarget := time.Duration(targetShare*float64(target.Sub(now))) - took
	inTime := time.Duration(callerShare*float64(deadline.Sub(now))) - took
	if wait > 0 && (wait > max(onTarget, took/2) || wait > inTime) {
		return nil, &Refusal{After: wait}
	}
	return g.queue.Push(now, value, rank, deadline), nil
}

// wait estimates how long a new request of a rank waits here.
func (g *Limiter[T]) wait(now time.Time, rank int) time.Duration {
	ahead := float64(g.queue.Ahead(rank))
	if g.window >= 1 {
		ahead += float64(g.inFlight) - g.window + 1
	}
	if ahead <= 0 && !now.Before(g.next) {
		return 0
	}
	pace := time.Duration(float64(g.Latency()) / max(g.window, leastWindow))
	return time.Duration(max(ahead, 0)*float64(pace)) + max(g.next.Sub(now), 0)
}

// Dequeue takes out the request that may go now, or returns nil and when to ask again, zero if only after an answer.
func (g *Limiter[T]) Dequeue(now time.Time) (*queue.Item[T], time.Time) {
	if g.queue.Len() == 0 || g.inFlight >= max(1, int(g.window)) {
		return nil, time.Time{}
	}
	if now.Before(g.next) {
		return nil, g.next
	}
	item := g.queue.Pop()
	g.inFlight++
	if g.window < 1 {
		g.next = now.Add(time.Duration(float64(g.Latency()) / g.window))
	}
	return item, time.Time{}
}

// Withdraw takes a waiting request out; it reports whether it was still waiting.
func (g *Limiter[T]) Withdraw(item *queue.Item[T]) bool { return g.queue.Remove(item) }

// OnResponse notes an answer of the upstream, and its load where it has told it.
func (g *Limiter[T]) OnResponse(now time.Time, took time.Duration, load calls.Load, hasLoad bool) {
	g.inFlight--
	if g.took == 0 {
		g.took = took
	}
	g.took += time.Duration(tookWeight * float64(took-g.took))
	if !hasLoad {
		g.window = min(g.window+opening, float64(g.slots+1))
		return
	}
	g.load, g.loadAt = load, now
	switch {
	case load.Waiting > g.slots:
		g.window = max(g.window*narrowing, leastWindow)
	case load.Waiting <= g.slots/2:
		g.window = min(g.window+opening, float64(g.slots+1))
	}
}

// OnOverload notes that the upstream had no room for a request.
func (g *Limiter[T]) OnOverload(now time.Time) {
	g.inFlight--
	g.window = max(g.window*shedding, leastWindow)
	g.next = now.Add(g.Latency())
}

// OnFailure notes a request without an answer; nothing is learned about the load.
func (g *Limiter[T]) OnFailure() { g.inFlight-- }

// Busy returns how many requests are in flight and how many wait.
func (g *Limiter[T]) Busy() (inFlight, waiting int) { return g.inFlight, g.queue.Len() }

// Latency is how long the upstream takes for a request.
func (g *Limiter[T]) Latency() time.Duration {
	if g.took == 0 {
		return firstTook
	}
	return g.took
}

// loadKept is how long an upstream's word on its load counts in the choice.
const loadKept = 500 * time.Millisecond

// Cost estimates how long a request would take that is given to this upstream now.
func (g *Limiter[T]) Cost(now time.Time) time.Duration {
	busy := float64(g.inFlight + g.queue.Len())
	if now.Sub(g.loadAt) < loadKept {
		busy = max(busy, float64(g.load.Running+g.load.Waiting))
	}
	over := max(0, busy+1-float64(g.slots))
	return time.Duration(float64(g.Latency()) * (1 + over/float64(g.slots)))
}

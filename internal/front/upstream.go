package front

import (
	"context"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/admit"
	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/http1"
	"lovagelink.example/lovagelink/internal/realm"
)

// upstream is one life of an upstream as this host deals with it.
type upstream struct {
	known realm.Upstream

	mu     sync.Mutex
	gate   *admit.Limiter[*turn]
	health admit.Health
	idle   []*http1.ClientConn
	timer  *time.Timer // for the next start that is held back
	gone   bool

	calm      time.Duration // of requests at whose end nothing waited there, since the last report
	calmCount int

	lacked   uint64 // fence of keys that the upstream did not have
	lackRow  int
	lackTill time.Time
}

// An owner that does not have its keys, since its grant has ended or has not arrived, is asked again after a while, later
// each time: each request that it sends back is one of those that may be sent again.
const (
	firstLack = 60 * time.Millisecond
	longLack  = time.Second
	lackLook  = 50 * time.Millisecond // between two looks whether the time is over
)

// lack notes that the upstream did not have the keys of a fence.
func (u *upstream) lack(now time.Time, fence uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lacked != fence {
		u.lacked, u.lackRow = fence, 0
	}
	if now.Before(u.lackTill) {
		return // others that were sent at the same time
	}
	u.lackTill = now.Add(min(firstLack<<min(u.lackRow, 8), longLack))
	u.lackRow++
}

// lacks returns for how much longer the keys of a fence are not asked for.
func (u *upstream) lacks(now time.Time, fence uint64) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lacked != fence {
		return 0
	}
	return max(0, u.lackTill.Sub(now))
}

// turn is a request that waits for its start.
type turn struct {
	start chan struct{}
}

func newUpstream(known realm.Upstream) *upstream {
	return &upstream{known: known, gate: admit.NewLimiter[*turn](known.Concurrency)}
}

// enter waits until a request may be sent. It returns a refusal if it can't be served in time, and false if ctx ended
// first; after true the request is in flight, and served, shed or failed must follow.
func (u *upstream) enter(ctx context.Context, now time.Time, rank int, target, deadline time.Time) (*admit.Refusal, bool) {
	u.mu.Lock()
	item, refusal := u.gate.Enqueue(now, &turn{start: make(chan struct{})}, rank, target, deadline)
	if refusal != nil {
		u.mu.Unlock()
		return refusal, false
	}
	u.pump(now)
	u.mu.Unlock()
	select {
	case <-item.Value.start:
		return nil, true
	case <-ctx.Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.gate.Withdraw(item) {
		u.gate.OnFailure()
		u.pump(time.Now())
	}
	return nil, false
}

// pump starts what may start; the lock is held.
func (u *upstream) pump(now time.Time) {
	for {
		item, again := u.gate.Dequeue(now)
		if item != nil {
			close(item.Value.start)
			continue
		}
		if !again.IsZero() {
			if u.timer != nil {
				u.timer.Stop()
			}
			u.timer = time.AfterFunc(again.Sub(now), func() {
				u.mu.Lock()
				defer u.mu.Unlock()
				u.pump(time.Now())
			})
		}
		return
	}
}

func (u *upstream) served(now time.Time, took time.Duration, judged calls.ResponseInfo, isGood bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gate.OnResponse(now, took, judged.Load, judged.HasLoad)
	if judged.HasLoad && judged.Load.Waiting == 0 {
		u.calm += took
		u.calmCount++
	}
	u.lackRow = 0
	if isGood {
		u.health.Succeeded()
	} else {
		u.health.Failed(now, false)
	}
	u.pump(now)
}

func (u *upstream) shed(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gate.OnOverload(now)
	u.pump(now)
}

// leave notes that a request was not sent after all, and nothing was learned.
func (u *upstream) leave(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gate.OnFailure()
	u.pump(now)
}

func (u *upstream) failed(now time.Time, isUnreachable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gate.OnFailure()
	u.health.Failed(now, isUnreachable)
	if isUnreachable {
		for _, link := range u.idle {
			link.Close()
		}
		u.idle = nil
	}
	u.pump(now)
}

// tookCalm returns how long requests took at whose end nothing waited, since it was last asked; 0 if there was none.
func (u *upstream) tookCalm() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.calmCount == 0 {
		return 0
	}
	took := u.calm / time.Duration(u.calmCount)
	u.calm, u.calmCount = 0, 0
	return took
}

// busy returns how many requests are under way there and how many wait here for their turn.
func (u *upstream) busy() (inFlight, waiting int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.gate.Busy()
}

// rest returns how much longer the upstream is left alone since it can't be reached.
func (u *upstream) rest(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.health.Backoff(now)
}

// cost estimates how long a request takes here, with failures weighed in.
func (u *upstream) cost(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.health.Weigh(u.gate.Cost(now))
}

// Idle connections: one that an upstream has closed without a word loses the request that is sent on it, so requests
// that may not run twice go on connections in recent use. The platform's upstreams close after 10 s.
const (
	idleLongest     = 7 * time.Second
	idleExclusive   = 2 * time.Second
	dialLimit       = 400 * time.Millisecond // a lost opening packet is sent again only after a second
	connectionsKept = 4
)

// connect returns an open connection, from those at rest or a new one.
func (u *upstream) connect(ctx context.Context, now time.Time, isExclusive bool) (*http1.ClientConn, error) {
	longest := idleLongest
	if isExclusive {
		longest = idleExclusive
	}
	for {
		u.mu.Lock()
		n := len(u.idle)
		if n == 0 {
			u.mu.Unlock()
			break
		}
		link := u.idle[n-1]
		u.idle = u.idle[:n-1]
		u.mu.Unlock()
		if link.IsReusable(now, longest) {
			return link, nil
		}
		link.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	return http1.Dial(ctx, now, u.known.Address)
}

// put keeps a connection for the next request.
func (u *upstream) put(link *http1.ClientConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.gone || len(u.idle) >= connectionsKept {
		link.Close()
		return
	}
	u.idle = append(u.idle, link)
}

// close ends the connections of an upstream that has gone.
func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gone = true
	for _, link := range u.idle {
		link.Close()
	}
	u.idle = nil
}

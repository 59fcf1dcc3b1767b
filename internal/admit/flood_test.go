package admit

import (
	"container/heap"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/calls"
)

// A simulation of one busy key: its owner serves two requests at a time in 120 ms each, queues eight more and sheds the
// rest. For 20 s ten hosts together receive 70 requests per second, with a latency target of 400 ms and a caller's
// timeout of 2.5 s.
const (
	hosts         = 10
	slots         = 2
	serviceTime   = 120 * time.Millisecond
	queueLimit    = 8
	perSecond     = 70
	latencyTarget = 400 * time.Millisecond
	callerTimeout = 2500 * time.Millisecond
	runTime       = 20 * time.Second
)

type event struct {
	at time.Time
	do func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation is the state of a run: the events to come, the upstream, and the counts.
type simulation struct {
	events  events
	running int
	waiting []func(now time.Time)
	shed    int
	onTime  int
	late    int
	refused int
	waited  time.Duration // by requests that were refused or timed out
}

func (r *simulation) after(now time.Time, period time.Duration, do func(time.Time)) {
	heap.Push(&r.events, event{now.Add(period), do})
}

func (r *simulation) run(now time.Time) {
	end := now.Add(runTime + callerTimeout)
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		if next.at.After(end) {
			return
		}
		next.do(next.at)
	}
}

// serve sends a request to the upstream; done is called with true on the response, and with false if the request is
// shed.
func (r *simulation) serve(now time.Time, done func(now time.Time, ok bool)) {
	start := func(now time.Time) {
		r.running++
		r.after(now, serviceTime, func(now time.Time) {
			r.running--
			if len(r.waiting) > 0 {
				next := r.waiting[0]
				r.waiting = r.waiting[1:]
				next(now)
			}
			done(now, true)
		})
	}
	switch {
	case r.running < slots:
		start(now)
	case len(r.waiting) < queueLimit:
		r.waiting = append(r.waiting, start)
	default:
		r.shed++
		done(now, false)
	}
}

func (r *simulation) recordResponse(now, arrived time.Time) {
	if now.Sub(arrived) <= latencyTarget {
		r.onTime++
	} else {
		r.late++
	}
}

func (r *simulation) recordRefusal(now, arrived time.Time) {
	r.refused++
	r.waited += now.Sub(arrived)
}

// withLimiters runs the simulation with a limiter on each host.
func withLimiters() *simulation {
	r := &simulation{}
	begin := time.Unix(1000, 0)
	for range hosts {
		limiter := NewLimiter[time.Time](slots)
		var dispatch func(now time.Time)
		dispatch = func(now time.Time) {
			for {
				item, again := limiter.Dequeue(now)
				if item == nil {
					if !again.IsZero() {
						r.after(now, again.Sub(now)+time.Millisecond, dispatch)
					}
					return
				}
				if now.After(item.Deadline) {
					limiter.OnFailure()
					r.recordRefusal(now, item.Value)
					continue
				}
				sent := now
				r.serve(now, func(now time.Time, ok bool) {
					if ok {
						limiter.OnResponse(now, now.Sub(sent), calls.Load{Running: r.running, Waiting: len(r.waiting), Slots: slots}, true)
						r.recordResponse(now, item.Value)
					} else {
						limiter.OnOverload(now)
						r.recordRefusal(now, item.Value)
					}
					dispatch(now)
				})
			}
		}
		r.scheduleArrivals(begin, func(now time.Time) {
			if _, refusal := limiter.Enqueue(now, now, 1, now.Add(latencyTarget), now.Add(callerTimeout)); refusal != nil {
				r.recordRefusal(now, now)
				return
			}
			dispatch(now)
		})
	}
	r.run(begin)
	return r
}

// withoutLimiters runs the simulation with hosts that send at once, and retry shed requests until the caller's timeout.
func withoutLimiters() *simulation {
	r := &simulation{}
	begin := time.Unix(1000, 0)
	for range hosts {
		r.scheduleArrivals(begin, func(arrived time.Time) {
			var send func(now time.Time)
			send = func(now time.Time) {
				if now.Sub(arrived) > callerTimeout {
					r.recordRefusal(now, arrived)
					return
				}
				r.serve(now, func(now time.Time, ok bool) {
					if ok {
						r.recordResponse(now, arrived)
						return
					}
					r.after(now, 50*time.Millisecond, send)
				})
			}
			send(arrived)
		})
	}
	r.run(begin)
	return r
}

// scheduleArrivals calls arrive for the requests to one host, at an even rate.
func (r *simulation) scheduleArrivals(begin time.Time, arrive func(now time.Time)) {
	interval := hosts * time.Second / perSecond
	for at := time.Duration(len(r.events)) * time.Millisecond % interval; at < runTime; at += interval {
		r.after(begin, at, arrive)
	}
}

// Guards against late responses under overload: requests that can't be served must be refused early, so that the others
// are mostly on time. Hosts without limiters keep the upstream's queue full, so that almost no response is on time.
func TestBusyKey(t *testing.T) {
	is := is.New(t)
	limited, unlimited := withLimiters(), withoutLimiters()
	t.Logf("limiters: on time %d, late %d, refused %d, waited %v, shed %d", limited.onTime, limited.late, limited.refused, limited.waited, limited.shed)
	t.Logf("naive: on time %d, late %d, refused %d, waited %v, shed %d", unlimited.onTime, unlimited.late, unlimited.refused, unlimited.waited, unlimited.shed)
	capacity := int(runTime/serviceTime) * slots
	is.True(limited.onTime+limited.late > capacity*8/10) // the upstream is kept busy
	is.True(limited.onTime > capacity/3)                 // relative to the upstream's capacity, not only to what it served
	is.True(limited.onTime > 10*unlimited.onTime)
	is.True(limited.shed*10 < unlimited.shed)
	is.True(limited.waited*2 < unlimited.waited)
}

// The most urgent request goes first, and a request that would be late is refused at once, with the time after which it
// can be queued.
func TestLimiterRefusesLateRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	limiter := NewLimiter[string](1)
	for i := range 5 {
		_, refusal := limiter.Enqueue(now, "", 3, now.Add(10*time.Second), now.Add(10*time.Second))
		is.True(refusal == nil)
		if i == 0 {
			item, _ := limiter.Dequeue(now)
			is.True(item != nil)
		}
	}
	_, refusal := limiter.Enqueue(now, "late", 3, now.Add(300*time.Millisecond), now.Add(300*time.Millisecond))
	is.True(refusal != nil)
	is.True(refusal.After >= 400*time.Millisecond)
	_, refusal = limiter.Enqueue(now, "urgent", 0, now.Add(300*time.Millisecond), now.Add(300*time.Millisecond))
	is.True(refusal == nil)
	limiter.OnResponse(now.Add(100*time.Millisecond), 100*time.Millisecond, calls.Load{}, false)
	item, _ := limiter.Dequeue(now.Add(100 * time.Millisecond))
	is.Equal(item.Value, "urgent")
}

// All hosts together stay within the common retry budget, whatever share of the requests each receives.
func TestBudgetHoldsOverAllHosts(t *testing.T) {
	is := is.New(t)
	const window = 10 * time.Second
	begin := time.Unix(1000, 0)
	var budgets []*RetryBudget
	for range hosts {
		budgets = append(budgets, NewRetryBudget(0.2, window, 60.0/hosts))
	}
	requests, retries := 0, 0
	for at := time.Duration(0); at < window; at += 10 * time.Millisecond {
		for i, b := range budgets {
			now := begin.Add(at)
			if int(at/time.Millisecond)%(10*(i+1)) == 0 {
				b.CountRequest(now)
				requests++
			}
			for b.TryRetry(now) { // as often as allowed
				retries++
			}
		}
	}
	is.True(float64(retries) <= 0.2*float64(requests)+60)
	is.True(retries > requests/10)
	is.True(budgets[0].TryRetry(begin.Add(3 * window))) // the slack is available again
}

// The back-off of an unreachable upstream grows with each failure, and ends with the first response.
func TestHealth(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var h Health
	h.Failed(now, true)
	is.Equal(h.Backoff(now), minBackoff)
	for range 10 {
		h.Failed(now, true)
	}
	is.Equal(h.Backoff(now), maxBackoff)
	is.True(h.Weigh(time.Second) > 4*time.Second)
	h.Succeeded()
	is.Equal(h.Backoff(now), time.Duration(0))
}

// An upstream that resets new connections because it is full is left alone for a while, but not taken for one that
// fails: its share of failures, by which others are preferred, stays.
func TestResetsAreOverload(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var h Health
	for _, want := range []time.Duration{minResetBackoff, 2 * minResetBackoff, 4 * minResetBackoff} {
		h.Reset(now)
		is.Equal(h.Backoff(now), want)
		now = now.Add(want)
	}
	for range 10 {
		h.Reset(now)
	}
	is.Equal(h.Backoff(now), maxResetBackoff)
	is.Equal(h.Weigh(time.Second), time.Second)
	h.Succeeded()
	is.Equal(h.Backoff(now), time.Duration(0))
	h.Reset(now)
	is.Equal(h.Backoff(now), minResetBackoff)
}

package admit

import (
	"container/heap"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/calls"
)

// A replay of one busy key: its owner does two requests at a time, each in 120 ms, holds eight more and turns the rest
// away. Ten hosts send it 70 requests a second of callers that wait 2.5 s and want an answer within 400 ms, for 20 s.
const (
	hosts      = 10
	slots      = 2
	work       = 120 * time.Millisecond
	upQueue    = 8
	perSecond  = 70
	wanted     = 400 * time.Millisecond
	callerWait = 2500 * time.Millisecond
	lasts      = 20 * time.Second
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

// replay is the world of the test.
type replay struct {
	events  events
	running int
	waiting []func(now time.Time)
	sheds   int
	onTime  int
	late    int
	refused int
	held    time.Duration // by requests that were refused or given up in the end
}

func (r *replay) after(now time.Time, period time.Duration, do func(time.Time)) {
	heap.Push(&r.events, event{now.Add(period), do})
}

func (r *replay) play(now time.Time) {
	end := now.Add(lasts + callerWait)
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		if next.at.After(end) {
			return
		}
		next.do(next.at)
	}
}

// arrive gives the upstream a request; done is called with its answer, and false if it is turned away.
func (r *replay) arrive(now time.Time, done func(now time.Time, ok bool)) {
	run := func(now time.Time) {
		r.running++
		r.after(now, work, func(now time.Time) {
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
		run(now)
	case len(r.waiting) < upQueue:
		r.waiting = append(r.waiting, run)
	default:
		r.sheds++
		done(now, false)
	}
}

func (r *replay) finish(now, asked time.Time) {
	if now.Sub(asked) <= wanted {
		r.onTime++
	} else {
		r.late++
	}
}

func (r *replay) refuse(now, asked time.Time) {
	r.refused++
	r.held += now.Sub(asked)
}

// withGates plays it with a gate on each host.
func withGates() *replay {
	r := &replay{}
	begin := time.Unix(1000, 0)
	for range hosts {
		gate := NewLimiter[time.Time](slots)
		var pump func(now time.Time)
		pump = func(now time.Time) {
			for {
				item, again := gate.Dequeue(now)
				if item == nil {
					if !again.IsZero() {
						r.after(now, again.Sub(now)+time.Millisecond, pump)
					}
					return
				}
				if now.After(item.Deadline) {
					gate.OnFailure()
					r.refuse(now, item.Value)
					continue
				}
				sent := now
				r.arrive(now, func(now time.Time, ok bool) {
					if ok {
						gate.OnResponse(now, now.Sub(sent), calls.Load{Running: r.running, Waiting: len(r.waiting), Slots: slots}, true)
						r.finish(now, item.Value)
					} else {
						gate.OnOverload(now)
						r.refuse(now, item.Value)
					}
					pump(now)
				})
			}
		}
		r.each(begin, func(now time.Time) {
			if _, refusal := gate.Enqueue(now, now, 1, now.Add(wanted), now.Add(callerWait)); refusal != nil {
				r.refuse(now, now)
				return
			}
			pump(now)
		})
	}
	r.play(begin)
	return r
}

// naive plays it with hosts that send at once, and again when they are turned away, as long as the caller waits.
func naive() *replay {
	r := &replay{}
	begin := time.Unix(1000, 0)
	for range hosts {
		r.each(begin, func(asked time.Time) {
			var try func(now time.Time)
			try = func(now time.Time) {
				if now.Sub(asked) > callerWait {
					r.refuse(now, asked)
					return
				}
				r.arrive(now, func(now time.Time, ok bool) {
					if ok {
						r.finish(now, asked)
						return
					}
					r.after(now, 50*time.Millisecond, try)
				})
			}
			try(asked)
		})
	}
	r.play(begin)
	return r
}

// each has a host asked at an even rate.
func (r *replay) each(begin time.Time, ask func(now time.Time)) {
	gap := hosts * time.Second / perSecond
	for at := time.Duration(len(r.events)) * time.Millisecond % gap; at < lasts; at += gap {
		r.after(begin, at, ask)
	}
}

// What can't be served is refused early, and what is served is mostly on time; hosts that send whatever they have keep
// the upstream's queue full, so that almost nothing is.
func TestBusyKey(t *testing.T) {
	is := is.New(t)
	gates, plain := withGates(), naive()
	t.Logf("gates: on time %d, late %d, refused %d, held %v, shed %d", gates.onTime, gates.late, gates.refused, gates.held, gates.sheds)
	t.Logf("naive: on time %d, late %d, refused %d, held %v, shed %d", plain.onTime, plain.late, plain.refused, plain.held, plain.sheds)
	capacity := int(lasts/work) * slots
	is.True(gates.onTime+gates.late > capacity*8/10) // the upstream is kept busy
	is.True(gates.onTime > capacity/3)               // of what the upstream can do, and not only of what it did
	is.True(gates.onTime > 10*plain.onTime)
	is.True(gates.sheds*10 < plain.sheds)
	is.True(gates.held*2 < plain.held)
}

// The most urgent goes first, and what would be late is refused at once with the time after which there is room.
func TestGateRefusesWhatWouldBeLate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	gate := NewLimiter[string](1)
	for i := range 5 {
		_, refusal := gate.Enqueue(now, "", 3, now.Add(10*time.Second), now.Add(10*time.Second))
		is.True(refusal == nil)
		if i == 0 {
			item, _ := gate.Dequeue(now)
			is.True(item != nil)
		}
	}
	_, refusal := gate.Enqueue(now, "late", 3, now.Add(300*time.Millisecond), now.Add(300*time.Millisecond))
	is.True(refusal != nil)
	is.True(refusal.After >= 400*time.Millisecond)
	_, refusal = gate.Enqueue(now, "urgent", 0, now.Add(300*time.Millisecond), now.Add(300*time.Millisecond))
	is.True(refusal == nil)
	gate.OnResponse(now.Add(100*time.Millisecond), 100*time.Millisecond, calls.Load{}, false)
	item, _ := gate.Dequeue(now.Add(100 * time.Millisecond))
	is.Equal(item.Value, "urgent")
}

// All hosts together stay within the common budget, whatever part of the requests each has.
func TestBudgetHoldsOverAllHosts(t *testing.T) {
	is := is.New(t)
	const window = 10 * time.Second
	begin := time.Unix(1000, 0)
	var budgets []*RetryBudget
	for range hosts {
		budgets = append(budgets, NewRetryBudget(0.2, window, 60.0/hosts))
	}
	first, repeats := 0, 0
	for at := time.Duration(0); at < window; at += 10 * time.Millisecond {
		for i, b := range budgets {
			now := begin.Add(at)
			if int(at/time.Millisecond)%(10*(i+1)) == 0 {
				b.CountRequest(now)
				first++
			}
			for b.TryRetry(now) { // as much as it may
				repeats++
			}
		}
	}
	is.True(float64(repeats) <= 0.2*float64(first)+60)
	is.True(repeats > first/10)
	is.True(budgets[0].TryRetry(begin.Add(3 * window))) // the slack is there again
}

// An upstream that can't be reached is left alone, longer each time, and used again once it answers.
func TestHealth(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var h Health
	h.Failed(now, true)
	is.Equal(h.Backoff(now), firstRest)
	for range 10 {
		h.Failed(now, true)
	}
	is.Equal(h.Backoff(now), longRest)
	is.True(h.Weigh(time.Second) > 4*time.Second)
	h.Succeeded()
	is.Equal(h.Backoff(now), time.Duration(0))
}

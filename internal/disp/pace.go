package disp

import "time"

// Pacing of an upstream.
const (
	firstService = 20 * time.Millisecond // assumed until answers have been seen
	smoothing    = 0.1
	resmoothing  = 0.5             // of an answer behind a long silence
	staleAfter   = 2 * time.Second // without an answer
	shedPause    = 100 * time.Millisecond
	growAfter    = 8 // answers between two steps of the limit upwards
)

// pace decides how many requests an upstream works on at a time, and how long one takes.
type pace struct {
	slots   int
	limit   int
	answers int
	service time.Duration
	hold    time.Time // nothing starts before
	newest  time.Time // when the newest request that is answered was sent
}

func newPace(slots int) pace {
	return pace{slots: max(slots, 1), limit: max(slots, 1), service: firstService}
}

// answered takes in an answer; the limit grows back step by step.
func (p *pace) answered(began time.Time, took time.Duration) {
	weight := smoothing
	if p.isStale(began) {
		weight = resmoothing
	}
	if began.After(p.newest) {
		p.newest = began
	}
	p.service += time.Duration(weight * float64(took-p.service))
	p.answers++
	if p.answers >= growAfter && p.limit < p.slots {
		p.limit++
		p.answers = 0
	}
}

// isStale reports whether the estimate rests on old answers alone.
func (p *pace) isStale(now time.Time) bool { return now.Sub(p.newest) > staleAfter }

// took is how long a request takes by answers that are not old, or 0.
func (d *Dispatcher) took(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pace.isStale(now) {
		return 0
	}
	return d.pace.service
}

// shed takes in a refusal by an upstream that is overloaded.
func (p *pace) shed(now time.Time) {
	p.limit = max(p.limit/2, 1)
	p.answers = 0
	p.hold = now.Add(shedPause)
}

// wait estimates how long a request waits behind others.
func (p *pace) wait(ahead int) time.Duration {
	return time.Duration(ahead) * p.service / time.Duration(p.limit)
}

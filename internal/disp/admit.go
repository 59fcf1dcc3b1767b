package disp

import (
	"context"
	"net/http"
	"time"

	"lovagelink.example/lovagelink/pkg/queue"
	"lovagelink.example/lovagelink/pkg/verd"
)

// await queues a request until it may start; ok is false with the outcome of one that may not.
func (d *Dispatcher) await(ctx context.Context, s *share, r Request) (Outcome, bool) {
	item, outcome, ok := d.enqueue(time.Now(), s, r)
	if !ok {
		return outcome, false
	}
	select {
	case <-item.Value.ready:
		return d.admitted(s, item)
	case <-s.gone:
		outcome = notRun(reasonMoved)
	case <-ctx.Done():
		outcome = refused(http.StatusServiceUnavailable, reasonLate, time.Second)
	}
	if d.withdraw(s, item) {
		return outcome, false
	}
	return d.admitted(s, item)
}

// admitted ends the wait of a request whose turn has come; in an overload it may have come too late.
func (d *Dispatcher) admitted(s *share, item *queue.Item[*waiting]) (Outcome, bool) {
	if !item.Value.late {
		return Outcome{}, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rest(s)
	d.Stats.Refused.Add(1)
	return refused(http.StatusServiceUnavailable, reasonLate, item.Value.wait), false
}

// enqueue refuses at once what could not be done in time.
func (d *Dispatcher) enqueue(now time.Time, s *share, r Request) (*queue.Item[*waiting], Outcome, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || s.moving {
		return nil, notRun(reasonMoved), false
	}
	rank := d.rankOf(r)
	wait := d.pace.wait(d.queue.Ahead(rank))
	useful := usefulWait(r)
	isBehind := d.behind[rank].update(now, wait+d.pace.service > useful)
	if outcome, isLate := d.judge(r, wait, isBehind); isLate {
		d.Stats.Refused.Add(1)
		return nil, outcome, false
	}
	value := &waiting{ready: make(chan struct{}), wait: useful}
	item := d.queue.Push(now, value, rank, now.Add(r.Left))
	s.active++
	d.pump(now)
	return item, Outcome{}, true
}

// judge refuses what could not be done in time; in an overload only the useful wait counts. What can start
// at once is taken in an overload too: its answer shows whether the upstream is as slow as it was.
func (d *Dispatcher) judge(r Request, wait time.Duration, isBehind bool) (outcome Outcome, isLate bool) {
	limit := r.Left
	isFree := d.running < d.pace.limit && d.queue.Len() == 0
	if isBehind && !isFree {
		limit = min(limit, usefulWait(r))
	}
	if wait+d.pace.service <= limit {
		return Outcome{}, false
	}
	return refused(http.StatusServiceUnavailable, reasonLate, wait), true
}

func (d *Dispatcher) rankOf(r Request) int { return min(r.Rank, len(d.floors)-1) }

// usefulWait is the longest wait in an overload that leaves time for the work and the way back.
func usefulWait(r Request) time.Duration { return r.Wait - r.Wait/waitMargin }

// CheckAdmission tells before the body of a request is read whether it would be refused at present.
func (d *Dispatcher) CheckAdmission(r Request) (Outcome, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.free {
		return Outcome{}, false // free work may be offloaded
	}
	rank := d.rankOf(r)
	outcome, isLate := d.judge(r, d.pace.wait(d.queue.Ahead(rank)), d.behind[rank].on)
	if isLate {
		d.Stats.Refused.Add(1)
	}
	return outcome, isLate
}

// withdraw takes a request out of the queue; it reports false when its turn has just come.
func (d *Dispatcher) withdraw(s *share, item *queue.Item[*waiting]) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.queue.Remove(item) {
		return false
	}
	d.rest(s)
	return true
}

// rest counts a request of a slot as ended.
func (d *Dispatcher) rest(s *share) {
	s.active--
	if s.moving && s.active == 0 {
		d.rouse()
	}
}

// pump starts what may start.
func (d *Dispatcher) pump(now time.Time) {
	if now.Before(d.pace.hold) {
		return
	}
	for d.running < d.pace.limit {
		item := d.queue.Pop()
		if item == nil {
			return
		}
		if d.behind[item.Rank].on && now.Sub(item.Queued) > item.Value.wait {
			item.Value.late = true
		} else {
			d.running++
		}
		close(item.Value.ready)
	}
}

// settlePace takes in how an attempt went.
func (d *Dispatcher) settlePace(began, now time.Time, outcome Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case outcome.Verdict == verd.Ran:
		d.pace.answered(began, now.Sub(began))
	case outcome.Status == http.StatusServiceUnavailable:
		d.pace.shed(now)
		time.AfterFunc(shedPause, d.resume)
	}
}

// resume starts what a shed upstream has held up.
func (d *Dispatcher) resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pump(time.Now())
}

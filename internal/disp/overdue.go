package disp

import (
	"sync"
	"time"
)

// An answer is overdue after this many times of the usual, and not before the least.
const (
	overdueFactor = 20
	leastOverdue  = 500 * time.Millisecond
)

// vigil watches one request that was sent. Its connection may have gone silent when the upstream
// has answered a request that was sent later.
type vigil struct {
	d       *Dispatcher
	sent    time.Time
	overdue func()

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// watch calls overdue once if the answer to a request that is sent now is overdue.
func (d *Dispatcher) watch(now time.Time, overdue func()) *vigil {
	v := &vigil{d: d, sent: now, overdue: overdue}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.timer = time.AfterFunc(d.patience(), v.check)
	return v
}

// patience is how long an answer may take before it counts as overdue.
func (d *Dispatcher) patience() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(overdueFactor*d.pace.service, leastOverdue)
}

func (v *vigil) check() {
	patience := v.d.patience()
	v.d.mu.Lock()
	isPassed := v.d.pace.newest.After(v.sent)
	v.d.mu.Unlock()
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.ended:
	case isPassed:
		v.ended = true
		v.overdue()
	default:
		v.timer.Reset(patience)
	}
}

// end stops the watch.
func (v *vigil) end() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ended = true
	v.timer.Stop()
}

package disp

import (
	"sync"
	"time"
)

// A response is overdue after overdueFactor times the estimated service time, but not before minOverdue.
const (
	overdueFactor = 20
	minOverdue    = 500 * time.Millisecond
)

// overdueWatch watches the response to a request. If the response is late and the upstream has already responded to a
// request that was sent later, the connection of the watched request may have failed silently.
type overdueWatch struct {
	d         *Dispatcher
	sentAt    time.Time
	onOverdue func()

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// watchOverdue calls onOverdue once if the response to a request that is sent now is overdue and the upstream has
// responded to a request that was sent later.
func (d *Dispatcher) watchOverdue(now time.Time, onOverdue func()) *overdueWatch {
	w := &overdueWatch{d: d, sentAt: now, onOverdue: onOverdue}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(d.overdueAfter(), w.check)
	return w
}

// overdueAfter returns how long a response may take before it counts as overdue.
func (d *Dispatcher) overdueAfter() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(overdueFactor*d.limiter.serviceTime, minOverdue)
}

func (w *overdueWatch) check() {
	delay := w.d.overdueAfter()
	w.d.mu.Lock()
	isOvertaken := w.d.limiter.newestSent.After(w.sentAt)
	w.d.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.ended:
	case isOvertaken:
		w.ended = true
		w.onOverdue()
	default:
		w.timer.Reset(delay)
	}
}

// stop ends the watch.
func (w *overdueWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

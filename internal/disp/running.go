package disp

import (
	"sync"
	"time"
)

// runningRequest is a request that counts against the concurrency limit and as an active request of its slot.
type runningRequest struct {
	d    *Dispatcher
	s    *ownedSlot
	once sync.Once
}

// releaseConcurrency lets another request start. The request stays active in its slot, since the slot must not be
// handed over while the upstream may still work on the request.
func (r *runningRequest) releaseConcurrency() {
	r.once.Do(func() {
		r.d.mu.Lock()
		defer r.d.mu.Unlock()
		r.d.running--
		r.d.startQueued(time.Now())
	})
}

// end releases the concurrency and counts the request of the slot as ended.
func (r *runningRequest) end() {
	r.releaseConcurrency()
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	r.d.requestDone(r.s)
}

package disp

import (
	"sync"
	"time"
)

// turn is a request's place among those that the upstream works on at a time.
type turn struct {
	d    *Dispatcher
	s    *share
	once sync.Once
}

// free lets another request start. The slot stays in use: it must not be handed over while the
// upstream may still work on a request of it.
func (t *turn) free() {
	t.once.Do(func() {
		t.d.mu.Lock()
		defer t.d.mu.Unlock()
		t.d.running--
		t.d.pump(time.Now())
	})
}

// end frees the place and counts the request of the slot as ended.
func (t *turn) end() {
	t.free()
	t.d.mu.Lock()
	defer t.d.mu.Unlock()
	t.d.rest(t.s)
}

package entry

import (
	"context"
	"sync"
)

// running holds the requests that other hosts have sent to dispatchers here, so that they can be
// cancelled.
type running struct {
	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

func newRunning() *running {
	return &running{cancels: make(map[string]context.CancelFunc)}
}

func (r *running) add(token string, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels[token] = cancel
}

func (r *running) remove(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, token)
}

func (r *running) cancel(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel := r.cancels[token]; cancel != nil {
		cancel()
	}
}

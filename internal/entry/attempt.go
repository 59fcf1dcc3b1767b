package entry

import (
	"errors"
	"sync"
)

// ErrWithdrawn reports that nobody waits for an attempt any more.
var ErrWithdrawn = errors.New("attempt has been withdrawn")

// attempts are the tries under way from this entry host. A dispatcher asks here before it sends an
// exclusive request, so that a withdrawn attempt is sure not to run.
type attempts struct {
	mu      sync.Mutex
	started map[string]bool
}

func newAttempts() *attempts {
	return &attempts{started: make(map[string]bool)}
}

// open enters an attempt.
func (a *attempts) open(token string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started[token] = false
}

// start lets an attempt be sent, unless it has been withdrawn.
func (a *attempts) start(token string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.started[token]; !ok {
		return ErrWithdrawn
	}
	a.started[token] = true
	return nil
}

// withdraw ends an attempt and reports whether it may have been sent.
func (a *attempts) withdraw(token string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	started := a.started[token]
	delete(a.started, token)
	return started
}

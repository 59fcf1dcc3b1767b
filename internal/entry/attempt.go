package entry

import (
	"errors"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/disp"
)

// ErrWithdrawn reports that the entry host no longer waits for the outcome of an attempt.
var ErrWithdrawn = errors.New("attempt has been withdrawn")

// attempts tracks the attempts in progress that this entry host has made. A dispatcher calls start before it
// sends a non-idempotent request to an upstream, so that a withdrawn attempt is guaranteed not to run.
type attempts struct {
	mu      sync.Mutex
	byToken map[string]*attempt
}

// attempt is one attempt to run a request. An offloaded request also needs the permit of the dispatcher that
// offloads it.
type attempt struct {
	started bool
	permit  disp.Permit
}

func newAttempts() *attempts {
	return &attempts{byToken: make(map[string]*attempt)}
}

// register adds an attempt; permit is nil unless the request is offloaded.
func (a *attempts) register(token string, permit disp.Permit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byToken[token] = &attempt{permit: permit}
}

// start allows an attempt to be sent to an upstream until the returned time, or without a time limit if that is
// zero. It returns ErrWithdrawn if the attempt was withdrawn or its permit was denied.
func (a *attempts) start(now time.Time, token string) (until time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	pending := a.byToken[token]
	if pending == nil {
		return until, ErrWithdrawn
	}
	if pending.permit != nil {
		isPermitted := false
		if until, isPermitted = pending.permit(now); !isPermitted {
			return until, ErrWithdrawn
		}
	}
	pending.started = true
	return until, nil
}

// withdraw removes an attempt and reports whether it may have been sent to an upstream.
func (a *attempts) withdraw(token string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	pending := a.byToken[token]
	delete(a.byToken, token)
	return pending != nil && pending.started
}

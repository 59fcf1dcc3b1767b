package entry

import (
	"errors"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/disp"
)

// ErrWithdrawn reports that nobody waits for an attempt any more.
var ErrWithdrawn = errors.New("attempt has been withdrawn")

// attempts are the tries under way from this entry host. A dispatcher asks here before it sends an
// exclusive request, so that a withdrawn attempt is sure not to run.
type attempts struct {
	mu  sync.Mutex
	all map[string]*attempt
}

// attempt is one try. A request that is offloaded needs the permit of the dispatcher that offloads it.
type attempt struct {
	started bool
	permit  disp.Permit
}

func newAttempts() *attempts {
	return &attempts{all: make(map[string]*attempt)}
}

// open enters an attempt; permit is nil for one that is not offloaded.
func (a *attempts) open(token string, permit disp.Permit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all[token] = &attempt{permit: permit}
}

// start lets an attempt be sent until a time, or at any time if that is zero, unless it has been withdrawn.
func (a *attempts) start(now time.Time, token string) (until time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	one := a.all[token]
	if one == nil {
		return until, ErrWithdrawn
	}
	if one.permit != nil {
		isPermitted := false
		if until, isPermitted = one.permit(now); !isPermitted {
			return until, ErrWithdrawn
		}
	}
	one.started = true
	return until, nil
}

// withdraw ends an attempt and reports whether it may have been sent.
func (a *attempts) withdraw(token string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	one := a.all[token]
	delete(a.all, token)
	return one != nil && one.started
}

package core

import (
	"context"
	"slices"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/realm"
)

// activations collects the keys whose owners have acknowledged a grant, until the log records that. Those that are
// acknowledged soon after one another go into one entry: at the start of a deployment and after the loss of a
// zone hundreds of owners acknowledge within a second, and each entry costs every control host and every entry host.
type activations struct {
	mu      sync.Mutex
	pending []realm.ActiveChange
	wake    chan struct{}
}

func newActivations() *activations { return &activations{wake: make(chan struct{}, 1)} }

// add records that the owner of a range has acknowledged its keys, so that hosts send it requests.
func (a *activations) add(service string, r realm.Range) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change := realm.ActiveChange{Service: service, Keys: r.KeyRange, FencingToken: r.FencingToken, Active: true}
	if slices.Contains(a.pending, change) {
		return // a renewal of the same grant
	}
	a.pending = append(a.pending, change)
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// take returns and removes the collected changes.
func (a *activations) take() []realm.ActiveChange {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := a.pending
	a.pending = nil
	return taken
}

// activationInterval is the least time between two entries with activations. Followers receive the state as often.
const activationInterval = publishInterval

// proposeActivations proposes the collected changes whenever there are some. If the outcome of a proposal is unknown,
// the keys become active with the next grant, which is due at once while they are inactive.
func (k *keyManager) proposeActivations() error {
	ctx := k.tomb.Context(context.Background())
	var proposedAt time.Time
	for {
		select {
		case <-k.activations.wake:
		case <-ctx.Done():
			return nil
		}
		pause.For(ctx, time.Until(proposedAt.Add(activationInterval)))
		proposedAt = time.Now()
		changes := k.activations.take()
		if err := k.host.propose(ctx, k.ballot, realm.Command{SetActive: changes}); err != nil {
			_ = k.host.logger.Log("event", "keys-taken", "ranges", len(changes), "outcome", "unknown", "reason", err)
		}
	}
}

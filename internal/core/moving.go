package core

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"

	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/realm"
)

// move is keys on their way from one owner to another.
type move struct {
	service string
	keys    realm.KeyRange
}

// isMoving reports whether any of some keys is on its way; the lock is held.
func (k *keeper) isMoving(service string, keys realm.KeyRange) bool {
	for m := range k.moving {
		if m.service == service && m.keys.Overlaps(keys) {
			return true
		}
	}
	return false
}

// begin starts a move of keys.
func (k *keeper) begin(service string, m keyed.Move) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.moving[move{service, m.Keys}] = true
	k.tomb.Go(func() error {
		k.move(service, m)
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.moving, move{service, m.Keys})
		return nil
	})
}

var errGaveUp = errors.New("the move was given up")

// move has an owner release keys and names the next one. Requests wait meanwhile.
func (k *keeper) move(service string, m keyed.Move) {
	ctx := k.tomb.Context(context.Background())
	logger := log.With(k.host.logger, "event", "keys-moved", "service", service, "from", m.Keys.From, "to", m.Keys.To,
		"owner", m.Owner.ID, "heir", m.NextOwner.ID, "fence", m.FencingToken)
	began := time.Now()
	handover, err := k.release(ctx, service, m)
	if err != nil {
		_ = logger.Log("outcome", "given-up", "took", time.Since(began), "reason", err)
		return
	}
	k.insist(realm.Command{Assignments: []realm.Assignment{{
		Service: service, Keys: m.Keys, Owner: m.NextOwner, ExpectedToken: m.FencingToken, Handover: handover,
	}}})
	_ = logger.Log("outcome", "assigned", "took", time.Since(began))
}

// release takes keys back and waits until no grant to their owner can be in force.
func (k *keeper) release(ctx context.Context, service string, m keyed.Move) (string, error) {
	err := k.host.propose(ctx, k.ballot, realm.Command{SetActive: []realm.ActiveChange{{Service: service, Keys: m.Keys, FencingToken: m.FencingToken}}})
	if err != nil {
		return "", err
	}
	if !k.host.givesUp(service, m) {
		return "", errGaveUp // the keys have got another fence meanwhile
	}
	task := k.task(m.Owner)
	if task == nil {
		return "", errGaveUp
	}
	task.calls.Lock() // no grant of these keys is on its way behind this, and none begins while they move
	task.calls.Unlock()
	if !k.mayOrder(time.Now()) {
		return "", errGaveUp
	}
	callCtx, cancel := context.WithTimeout(ctx, releaseTime)
	handover, releaseErr := k.orders.Release(callCtx, task.target(), m.Keys, m.FencingToken)
	cancel()
	for ctx.Err() == nil {
		k.mu.Lock()
		isFree := k.book.GrantsExpired(time.Now(), m.Owner)
		if releaseErr == nil {
			isFree = k.book.ReleaseIsSafe(time.Now(), m.Owner)
		}
		k.mu.Unlock()
		if isFree {
			return handover, nil
		}
		if releaseErr != nil && !k.isStuck(m.Owner) {
			return "", releaseErr // it goes on holding its other keys, so these would never be free
		}
		pause.For(ctx, freeGap)
	}
	return "", errGaveUp
}

// givesUp reports whether the keys of a move are still what it is about, and requests wait for them.
func (h *Host) givesUp(service string, m keyed.Move) bool {
	at, ok := h.rangeAt(service, m.Keys.From)
	return ok && at.Owner == m.Owner && at.FencingToken == m.FencingToken && !at.Active
}

// isStuck reports whether a life takes no grants, so that it is free of its keys once its last one has ended.
func (k *keeper) isStuck(life realm.Instance) bool {
	heard := k.host.lastHeard(life, k.began)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.IsUnresponsive(time.Now(), life, heard)
}

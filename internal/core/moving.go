package core

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log"

	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/realm"
)

// movingRange identifies keys that move from one owner to another.
type movingRange struct {
	service string
	keys    realm.KeyRange
}

// isMoving reports whether any key of a range is moving; the caller holds k.mu.
func (k *keyManager) isMoving(service string, keys realm.KeyRange) bool {
	for m := range k.moving {
		if m.service == service && m.keys.Overlaps(keys) {
			return true
		}
	}
	return false
}

// movingKeys returns the keys of a service that are moving, sorted; the caller holds k.mu.
func (k *keyManager) movingKeys(service string) []realm.KeyRange {
	var moving []realm.KeyRange
	for m := range k.moving {
		if m.service == service {
			moving = append(moving, m.keys)
		}
	}
	slices.SortFunc(moving, func(a, b realm.KeyRange) int { return int(a.From) - int(b.From) })
	return moving
}

// overlapsAny reports whether keys overlap one of the given ranges, which are sorted and don't overlap each other.
func overlapsAny(ranges []realm.KeyRange, keys realm.KeyRange) bool {
	i, _ := slices.BinarySearchFunc(ranges, keys.From, func(r realm.KeyRange, from uint16) int { return int(r.To) - int(from) })
	return i < len(ranges) && ranges[i].From <= keys.To
}

// startMove starts a task that moves keys.
func (k *keyManager) startMove(service string, m keyed.Move) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.moving[movingRange{service, m.Keys}] = true
	k.tomb.Go(func() error {
		k.runMove(service, m)
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.moving, movingRange{service, m.Keys})
		return nil
	})
}

var errMoveAbandoned = errors.New("move abandoned: the keys, their owner or the leader changed, or the leader's lease is about to expire")

// runMove makes the owner release keys and assigns them to the next owner. Requests for the keys wait until then.
func (k *keyManager) runMove(service string, m keyed.Move) {
	ctx := k.tomb.Context(context.Background())
	logger := log.With(k.host.logger, "event", "keys-moved", "service", service, "from", m.Keys.From, "to", m.Keys.To,
		"owner", m.Owner.ID, "heir", m.Parts[0].NextOwner.ID, "parts", len(m.Parts), "fence", m.FencingToken)
	start := time.Now()
	handover, err := k.release(ctx, service, m)
	if err != nil {
		_ = logger.Log("outcome", "given-up", "took", time.Since(start), "reason", err)
		return
	}
	var command realm.Command
	for _, part := range m.Parts {
		command.Assignments = append(command.Assignments, realm.Assignment{
			Service: service, Keys: part.Keys, Owner: part.NextOwner, ExpectedToken: m.FencingToken, Handover: handover,
		})
	}
	k.proposeUntilKnown(command)
	_ = logger.Log("outcome", "assigned", "took", time.Since(start))
}

// release makes the owner release keys and waits until no grant of them can be in force; it returns the handover data.
func (k *keyManager) release(ctx context.Context, service string, m keyed.Move) (string, error) {
	err := k.host.propose(ctx, k.ballot, realm.Command{SetActive: []realm.ActiveChange{{Service: service, Keys: m.Keys, FencingToken: m.FencingToken}}})
	if err != nil {
		return "", err
	}
	if !k.host.isReleasing(service, m) {
		return "", errMoveAbandoned // the keys have a new fencing token by now
	}
	task := k.task(m.Owner)
	if task == nil {
		return "", errMoveAbandoned
	}
	task.callMu.Lock() // waits for a grant call in flight; beginGrant starts none while the keys move
	task.callMu.Unlock()
	if !k.mayCallUpstreams(time.Now()) {
		return "", errMoveAbandoned
	}
	callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	handover, releaseErr := k.client.Release(callCtx, task.target(), m.Keys, m.FencingToken)
	cancel()
	for ctx.Err() == nil {
		k.mu.Lock()
		canReassign := k.tracker.GrantsExpired(time.Now(), m.Owner)
		if releaseErr == nil {
			canReassign = k.tracker.ReleaseIsSafe(time.Now(), m.Owner)
		}
		k.mu.Unlock()
		if canReassign {
			return handover, nil
		}
		if releaseErr != nil && !k.isUnresponsive(m.Owner) {
			return "", releaseErr // grants of the owner's other keys are renewed, so its grants would never expire
		}
		pause.For(ctx, pollInterval)
	}
	return "", errMoveAbandoned
}

// isReleasing reports whether the keys of a move still have its owner and fencing token and are inactive, so that
// requests for them wait.
func (h *Host) isReleasing(service string, m keyed.Move) bool {
	current, ok := h.rangeAt(service, m.Keys.From)
	return ok && current.Owner == m.Owner && current.FencingToken == m.FencingToken && !current.Active
}

// isUnresponsive reports whether an instance acknowledges no grants, so that its keys can go to others once its last
// grant has expired.
func (k *keyManager) isUnresponsive(instance realm.Instance) bool {
	lastHeartbeat := k.host.lastHeartbeat(instance, k.startTime)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.IsUnresponsive(time.Now(), instance, lastHeartbeat)
}

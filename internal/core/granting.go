package core

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/realm"
)

// grantTask grants one instance of an upstream its keys and renews the grants.
type grantTask struct {
	instance    realm.Instance
	address     netip.AddrPort
	service     string
	callMu      sync.Mutex // held while a grant call is in flight
	connFencing *keyed.ConnFencing
	wake        chan struct{}
	grantedAt   map[realm.KeyRange]time.Time // time of the last acknowledged grant of each range
}

// updateTasks starts a task for each owner that has none, and triggers the tasks of owners with inactive keys.
func (k *keyManager) updateTasks(s *realm.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for service, ownership := range s.Ownership {
		if !s.IsKeyed(service) {
			continue
		}
		for _, r := range ownership.Ranges {
			u := s.Upstreams[r.Owner.ID]
			if u == nil || u.Instance != r.Owner || u.Ended {
				continue
			}
			task := k.tasks[r.Owner]
			if task == nil {
				task = &grantTask{
					instance: r.Owner, address: u.Address, service: service, connFencing: keyed.NewConnFencing(k.firstIndex),
					wake: make(chan struct{}, 1), grantedAt: make(map[realm.KeyRange]time.Time),
				}
				k.tasks[r.Owner] = task
				k.tomb.Go(func() error { return k.runTask(task) })
			}
			if !r.Active {
				task.trigger()
			}
		}
	}
}

func (t *grantTask) target() calls.Target { return calls.Target{ID: t.instance.ID, Address: t.address} }

func (t *grantTask) trigger() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// runTask sends grants until the instance is no longer registered or has ended.
func (k *keyManager) runTask(t *grantTask) error {
	ctx := k.tomb.Context(context.Background())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for k.tomb.Alive() {
		select {
		case <-t.wake:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		if !k.sendDueGrants(ctx, t) {
			k.mu.Lock()
			delete(k.tasks, t.instance)
			k.mu.Unlock()
			return nil
		}
		timer.Reset(k.terms.RenewInterval / 2)
	}
	return nil
}

// sendDueGrants sends each grant that is due; it reports whether the instance is still registered and has not ended.
func (k *keyManager) sendDueGrants(ctx context.Context, t *grantTask) bool {
	var ranges []realm.Range
	isRegistered := false
	k.host.Read(func(s *realm.State) {
		u := s.Upstreams[t.instance.ID]
		isRegistered = u != nil && u.Instance == t.instance && !u.Ended
		if mayReceiveGrants(s, t.instance) {
			ranges = rangesOf(s, t)
		}
	})
	for _, r := range ranges {
		if ctx.Err() != nil {
			break
		}
		k.sendGrant(ctx, t, r)
	}
	return isRegistered
}

// mayReceiveGrants reports whether grants are sent to an instance. An instance that drains or has gone gets none, so
// that its keys can go to others at the latest when its last grants expire.
func mayReceiveGrants(s *realm.State, instance realm.Instance) bool {
	u := s.Upstreams[instance.ID]
	return u != nil && u.Instance == instance && (u.Phase == realm.Ready || u.Phase == realm.Lost)
}

// awaitTurn waits for the turn of a grant that is due. It reports false if the grant is not due, or ctx ends first.
func (k *keyManager) awaitTurn(ctx context.Context, t *grantTask, r realm.Range) bool {
	now := time.Now()
	lastHeartbeat := k.host.lastHeartbeat(t.instance, k.startTime)
	k.mu.Lock()
	delay := time.Duration(0)
	isDue := k.isDue(now, t, r, lastHeartbeat)
	if isDue {
		delay = k.pacer.Delay(now)
	}
	k.mu.Unlock()
	pause.For(ctx, delay)
	return isDue && ctx.Err() == nil
}

func (k *keyManager) sendGrant(ctx context.Context, t *grantTask, r realm.Range) {
	if !k.awaitTurn(ctx, t, r) {
		return
	}
	t.callMu.Lock()
	defer t.callMu.Unlock()
	now := time.Now()
	if !k.mayCallUpstreams(now) || !k.beginGrant(now, t, r) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, k.terms.CallTimeout)
	err := k.client.Grant(callCtx, t.target(), calls.Grant{
		From: r.From, To: r.To, FencingToken: r.FencingToken, TTL: k.terms.TTL, Handover: r.Handover, ReuseOnly: !t.connFencing.MayOpen(),
	})
	cancel()
	if errors.Is(err, calls.ErrNotConnected) {
		k.mu.Lock()
		k.tracker.CancelPending(t.instance)
		k.mu.Unlock()
		k.prepareReconnect(ctx, t)
		return
	}
	if !errors.Is(err, calls.ErrUnreachable) {
		t.connFencing.RecordToken(r.FencingToken)
	}
	now = time.Now()
	k.mu.Lock()
	wasFailing := k.tracker.FailingFor(now, t.instance) > 0
	switch {
	case err == nil || errors.Is(err, calls.ErrStaleToken):
		k.tracker.RecordAck(now, t.instance)
		t.grantedAt[r.KeyRange] = now
	case errors.Is(err, calls.ErrCommandRefused):
		k.tracker.RecordRefusal(now, t.instance)
	case errors.Is(err, calls.ErrUnreachable):
		k.tracker.RecordUnreachable(now, t.instance)
	default:
		k.tracker.RecordUnknown(now, t.instance)
	}
	k.mu.Unlock()
	switch {
	case err == nil:
		if !r.Active {
			k.activations.add(t.service, r)
		}
	case errors.Is(err, calls.ErrStaleToken):
		_ = k.host.logger.Log("event", "grant", "upstream", t.instance.ID, "fence", r.FencingToken, "outcome", "outranked")
		k.renewToken(ctx, t, r)
	default:
		if !wasFailing {
			_ = k.host.logger.Log("event", "grant", "upstream", t.instance.ID, "fence", r.FencingToken, "outcome", "unknown", "reason", err)
		}
	}
}

// prepareReconnect renews the fencing tokens of an upstream if a new connection to it requires that, and triggers the
// task. It is called when the connection for grants has closed or there was none.
func (k *keyManager) prepareReconnect(ctx context.Context, t *grantTask) {
	needsNewTokens := func() (needs bool) {
		k.host.Read(func(s *realm.State) { needs = t.connFencing.NeedsNewTokens(rangesOf(s, t)) })
		return needs
	}
	if needsNewTokens() {
		if err := k.host.propose(ctx, k.ballot, realm.Command{RenewTokens: []realm.Instance{t.instance}}); err != nil {
			_ = k.host.logger.Log("event", "keys-fenced", "upstream", t.instance.ID, "outcome", "unknown", "reason", err)
			return // runTask tries again when its timer fires
		}
		_ = k.host.logger.Log("event", "keys-fenced", "upstream", t.instance.ID, "born", t.instance.StartMillis,
			"reason", "the connection for grants has closed, and another process may listen at the address now")
		needsNewTokens() // with all tokens renewed, the next grant may open a connection
	}
	t.trigger()
}

// rangesOf returns the ranges to grant. A service that is no longer divided by key gets no grants, so that its owners lose
// their keys.
func rangesOf(s *realm.State, t *grantTask) (ranges []realm.Range) {
	ownership := s.Ownership[t.service]
	if ownership == nil || !s.IsKeyed(t.service) {
		return nil
	}
	for _, r := range ownership.Ranges {
		if r.Owner == t.instance {
			ranges = append(ranges, r)
		}
	}
	return ranges
}

// beginGrant reports whether a grant of a range is due, and if so records it as pending. The range was read from an
// earlier state: since then some of its keys may have started to move, or have moved.
func (k *keyManager) beginGrant(now time.Time, t *grantTask, r realm.Range) bool {
	lastHeartbeat := k.host.lastHeartbeat(t.instance, k.startTime)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.isDue(now, t, r, lastHeartbeat) || !k.host.isUnchanged(t.service, r) {
		return false
	}
	k.tracker.RecordPending(t.instance)
	return true
}

// isDue reports whether a range is to be granted now. The caller holds k.mu.
func (k *keyManager) isDue(now time.Time, t *grantTask, r realm.Range, lastHeartbeat time.Time) bool {
	if k.isMoving(t.service, r.KeyRange) {
		return false
	}
	if r.Active && now.Sub(t.grantedAt[r.KeyRange]) < k.terms.RenewInterval {
		return false
	}
	return k.tracker.ShouldGrant(now, t.instance, lastHeartbeat)
}

// isUnchanged reports whether a range still has the same keys, owner and fencing token.
func (h *Host) isUnchanged(service string, r realm.Range) bool {
	current, ok := h.rangeAt(service, r.From)
	return ok && current.KeyRange == r.KeyRange && current.Owner == r.Owner && current.FencingToken == r.FencingToken
}

// rangeAt returns the range that contains a key at present, if the service is divided by key and the key has an owner.
func (h *Host) rangeAt(service string, key uint16) (found realm.Range, ok bool) {
	h.Read(func(s *realm.State) {
		if ownership := s.Ownership[service]; ownership != nil && s.IsKeyed(service) {
			if r := ownership.Ranges.At(key); r != nil {
				found, ok = *r, true
			}
		}
	})
	return found, ok
}

// renewToken assigns keys a new fencing token after their owner has seen a higher token than theirs.
func (k *keyManager) renewToken(ctx context.Context, t *grantTask, r realm.Range) {
	err := k.host.propose(ctx, k.ballot, realm.Command{Assignments: []realm.Assignment{{
		Service: t.service, Keys: r.KeyRange, Owner: t.instance, ExpectedToken: r.FencingToken,
	}}})
	if err != nil {
		_ = k.host.logger.Log("event", "keys-assigned", "upstream", t.instance.ID, "was", r.FencingToken, "outcome", "unknown", "reason", err)
	}
}

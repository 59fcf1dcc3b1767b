package core

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/realm"
)

// granting is the task that grants one life of an upstream its keys and renews them.
type granting struct {
	life    realm.Instance
	address netip.AddrPort
	service string
	calls   sync.Mutex // held while a grant is on its way
	link    *keyed.ConnFencing
	wake    chan struct{}
	granted map[realm.KeyRange]time.Time // when each range was last granted
}

// follow starts a task for each owner that has none, and rouses those that have keys to take.
func (k *keeper) follow(s *realm.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for service, owned := range s.Ownership {
		for _, one := range owned.Ranges {
			u := s.Upstreams[one.Owner.ID]
			if u == nil || u.Instance != one.Owner || u.Ended {
				continue
			}
			task := k.tasks[one.Owner]
			if task == nil {
				task = &granting{
					life: one.Owner, address: u.Address, service: service, link: keyed.NewConnFencing(k.opened),
					wake: make(chan struct{}, 1), granted: make(map[realm.KeyRange]time.Time),
				}
				k.tasks[one.Owner] = task
				k.tomb.Go(func() error { return k.grant(task) })
			}
			if !one.Active {
				task.rouse()
			}
		}
	}
}

func (t *granting) target() calls.Target { return calls.Target{ID: t.life.ID, Address: t.address} }

func (t *granting) rouse() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// grant sends grants as long as the life owns keys.
func (k *keeper) grant(t *granting) error {
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
		if !k.grantAll(ctx, t) {
			k.mu.Lock()
			delete(k.tasks, t.life)
			k.mu.Unlock()
			return nil
		}
		timer.Reset(k.terms.RenewInterval / 2)
	}
	return nil
}

// grantAll sends each grant that is due; it reports whether the life is still known.
func (k *keeper) grantAll(ctx context.Context, t *granting) bool {
	var ranges []realm.Range
	isKnown := false
	k.host.Read(func(s *realm.State) {
		u := s.Upstreams[t.life.ID]
		isKnown = u != nil && u.Instance == t.life && !u.Ended
		if mayHold(s, t.life) {
			ranges = rangesOf(s, t)
		}
	})
	for _, one := range ranges {
		if ctx.Err() != nil {
			break
		}
		k.grantOne(ctx, t, one)
	}
	return isKnown
}

// mayHold reports whether a life is sent grants. One that leaves is sent none, so that it is free of its keys at the
// latest when the grants that it has end.
func mayHold(s *realm.State, life realm.Instance) bool {
	u := s.Upstreams[life.ID]
	return u != nil && u.Instance == life && (u.Phase == realm.Ready || u.Phase == realm.Lost)
}

func (k *keeper) grantOne(ctx context.Context, t *granting, one realm.Range) {
	t.calls.Lock()
	defer t.calls.Unlock()
	now := time.Now()
	if !k.mayOrder(now) || !k.isDue(now, t, one) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, k.terms.CallTimeout)
	err := k.orders.Grant(callCtx, t.target(), calls.Grant{
		From: one.From, To: one.To, FencingToken: one.FencingToken, TTL: k.terms.TTL, Handover: one.Handover, ReuseOnly: !t.link.MayOpen(),
	})
	cancel()
	if errors.Is(err, calls.ErrNotLinked) {
		k.mu.Lock()
		k.book.CancelPending(t.life)
		k.mu.Unlock()
		k.relink(ctx, t)
		return
	}
	if !errors.Is(err, calls.ErrUnreached) {
		t.link.RecordToken(one.FencingToken)
	}
	now = time.Now()
	k.mu.Lock()
	wasFailing := k.book.FailingFor(now, t.life) > 0
	switch {
	case err == nil || errors.Is(err, calls.ErrStaleToken):
		k.book.RecordAck(now, t.life)
		t.granted[one.KeyRange] = now
	case errors.Is(err, calls.ErrOrderRefused):
		k.book.RecordRefusal(now, t.life)
	case errors.Is(err, calls.ErrUnreached):
		k.book.RecordUnreachable(now, t.life)
	default:
		k.book.RecordUnknown(now, t.life)
	}
	k.mu.Unlock()
	switch {
	case err == nil:
		if !one.Active {
			k.take(ctx, t, one)
		}
	case errors.Is(err, calls.ErrStaleToken):
		_ = k.host.logger.Log("event", "grant", "upstream", t.life.ID, "fence", one.FencingToken, "outcome", "outranked")
		k.renew(ctx, t, one)
	default:
		if !wasFailing {
			_ = k.host.logger.Log("event", "grant", "upstream", t.life.ID, "fence", one.FencingToken, "outcome", "unknown", "reason", err)
		}
	}
}

// relink prepares for another connection to an upstream, since the last one has ended or there was none.
func (k *keeper) relink(ctx context.Context, t *granting) {
	mustRenew := func() (must bool) {
		k.host.Read(func(s *realm.State) { must = t.link.NeedsNewTokens(rangesOf(s, t)) })
		return must
	}
	if mustRenew() {
		if err := k.host.propose(ctx, k.ballot, realm.Command{RenewTokens: []realm.Instance{t.life}}); err != nil {
			_ = k.host.logger.Log("event", "keys-fenced", "upstream", t.life.ID, "outcome", "unknown", "reason", err)
			return // the timer asks again
		}
		_ = k.host.logger.Log("event", "keys-fenced", "upstream", t.life.ID, "born", t.life.StartMillis,
			"reason", "the connection for grants has ended, and another process may have its place")
		mustRenew()
	}
	t.rouse()
}

func rangesOf(s *realm.State, t *granting) (ranges []realm.Range) {
	owned := s.Ownership[t.service]
	if owned == nil {
		return nil
	}
	for _, one := range owned.Ranges {
		if one.Owner == t.life {
			ranges = append(ranges, one)
		}
	}
	return ranges
}

// isDue reports whether a grant is to be sent now, and notes that it is on its way. The range was read a while ago:
// since then some of its keys may have begun to move, or may have moved.
func (k *keeper) isDue(now time.Time, t *granting, one realm.Range) bool {
	heard := k.host.lastHeard(t.life, k.began)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isMoving(t.service, one.KeyRange) || !k.host.owns(t.service, one) {
		return false
	}
	if one.Active && now.Sub(t.granted[one.KeyRange]) < k.terms.RenewInterval {
		return false
	}
	if !k.book.ShouldGrant(now, t.life, heard) {
		return false
	}
	k.book.RecordPending(t.life)
	return true
}

// owns reports whether a range still has the owner and the fence that it had.
func (h *Host) owns(service string, one realm.Range) bool {
	at, ok := h.rangeAt(service, one.From)
	return ok && at.KeyRange == one.KeyRange && at.Owner == one.Owner && at.FencingToken == one.FencingToken
}

// rangeAt returns the range of a key at present, if somebody owns it.
func (h *Host) rangeAt(service string, key uint16) (found realm.Range, ok bool) {
	h.Read(func(s *realm.State) {
		if owned := s.Ownership[service]; owned != nil {
			if at := owned.Ranges.At(key); at != nil {
				found, ok = *at, true
			}
		}
	})
	return found, ok
}

// take tells all hosts that the owner has its keys.
func (k *keeper) take(ctx context.Context, t *granting, one realm.Range) {
	err := k.host.propose(ctx, k.ballot, realm.Command{SetActive: []realm.ActiveChange{{
		Service: t.service, Keys: one.KeyRange, FencingToken: one.FencingToken, Active: true,
	}}})
	if err != nil {
		_ = k.host.logger.Log("event", "keys-taken", "upstream", t.life.ID, "fence", one.FencingToken, "outcome", "unknown", "reason", err)
	}
}

// renew gives keys a new fence where their owner has seen a higher one than theirs.
func (k *keeper) renew(ctx context.Context, t *granting, one realm.Range) {
	err := k.host.propose(ctx, k.ballot, realm.Command{Assignments: []realm.Assignment{{
		Service: t.service, Keys: one.KeyRange, Owner: t.life, ExpectedToken: one.FencingToken,
	}}})
	if err != nil {
		_ = k.host.logger.Log("event", "keys-assigned", "upstream", t.life.ID, "was", one.FencingToken, "outcome", "unknown", "reason", err)
	}
}

package paxos

import (
	"context"
	"errors"
	"time"
)

// mendPeriods is the number of heartbeats between two looks at who answers under the founders' names.
const mendPeriods = 3

// mend brings in each founder that answers under an identity that has no vote: one whose disk was
// lost, or one that an earlier leader has removed and not yet added again.
func (r *Replica) mend(l *leadership) error {
	for l.tomb.Alive() {
		for _, name := range r.founders {
			if name != r.name {
				r.mendOne(l, name)
			}
		}
		l.pause(mendPeriods * r.timing.Heartbeat)
	}
	return nil
}

// mendOne swaps the member of this name for its successor. The successor holds every chosen entry
// before the old member leaves, and counts towards a quorum only in the second step.
func (r *Replica) mendOne(l *leadership, name string) {
	identity, ok := r.identify(name)
	if !ok || identity.ID == "" || r.hasMember(identity.ID) {
		return
	}
	f := r.join(l, Member{Name: name, ID: identity.ID})
	defer r.endJoin(l)
	if !r.awaitCopy(l, f) {
		return
	}
	ctx := l.tomb.Context(context.Background())
	if old, ok := r.memberNamed(name); ok {
		if !r.change(ctx, func(m Members) Members { return m.Without(old.ID) }) {
			return
		}
		if !r.awaitCopy(l, f) {
			return
		}
	}
	r.change(ctx, func(m Members) Members { return m.With(f.member) })
}

func (r *Replica) hasMember(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.members().Has(id)
}

func (r *Replica) memberNamed(name string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, member := range r.log.members() {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

func (r *Replica) join(l *leadership, member Member) *follower {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.joining = member.ID
	return r.engageOne(l, member)
}

func (r *Replica) endJoin(l *leadership) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.joining = ""
}

// awaitCopy waits until a follower has synced all that is chosen at present; it gives up when the
// follower makes no progress for the time of a lease.
func (r *Replica) awaitCopy(l *leadership, f *follower) bool {
	r.mu.Lock()
	target, seen := r.commit, f.match
	r.mu.Unlock()
	since := time.Now()
	for l.tomb.Alive() {
		r.mu.Lock()
		match := f.match
		r.mu.Unlock()
		if match >= target {
			return true
		}
		if now := time.Now(); match > seen {
			seen, since = match, now
		} else if now.Sub(since) > r.timing.Lease {
			return false
		}
		l.pause(r.timing.Heartbeat)
	}
	return false
}

// change proposes a new membership and waits until it is chosen.
func (r *Replica) change(ctx context.Context, next func(Members) Members) bool {
	for ctx.Err() == nil {
		r.mu.Lock()
		members := next(r.log.members())
		lead := r.lead
		r.mu.Unlock()
		if lead == nil {
			return false
		}
		_, _, err := r.propose(ctx, proposal{kind: KindMembers, members: members, done: make(chan outcome, 1)})
		if !errors.Is(err, ErrChanging) {
			return err == nil
		}
		lead.pause(r.timing.Heartbeat)
	}
	return false
}

func (l *leadership) pause(period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.tomb.Dying():
	}
}

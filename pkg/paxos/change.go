package paxos

import (
	"context"
	"errors"
	"slices"
	"time"
)

// mendPeriods is the number of heartbeats between two looks at who answers under the members' names.
const mendPeriods = 3

// minMembers is the least number of members that one may retire from: below three, the loss of one
// more would stop the log.
const minMembers = 3

// mend brings in each founder, member and guest that answers under an identity that has no vote: one
// whose disk was lost, one that an earlier leader has removed and not yet added again, or a newcomer.
func (r *Replica) mend(l *leadership) error {
	for l.tomb.Alive() {
		for _, name := range r.candidates(time.Now(), l) {
			r.mendOne(l, name)
		}
		r.retire(time.Now(), l)
		l.pause(mendPeriods * r.timing.Heartbeat)
	}
	return nil
}

// candidates lists the names that may stand for another identity than the one that votes. A member that
// was heard lately is none: its identity lives as long as its process.
func (r *Replica) candidates(now time.Time, l *leadership) []string {
	var guests []string
	if r.setup.JoinCandidates != nil {
		guests = r.setup.JoinCandidates()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	add := func(name string) {
		if name != r.name && !slices.Contains(names, name) && !r.isHeard(now, l, name) {
			names = append(names, name)
		}
	}
	members := r.log.members()
	for _, member := range members {
		add(member.Name)
	}
	for _, name := range r.setup.InitialMembers {
		add(name)
	}
	for _, name := range guests {
		if len(members) < r.setup.MaxMembers {
			add(name)
		}
	}
	return names
}

// isHeard reports whether the member of this name has confirmed a message within the time of a lease.
func (r *Replica) isHeard(now time.Time, l *leadership, name string) bool {
	for _, member := range r.log.members() {
		if f := l.followers[member.ID]; member.Name == name && f != nil {
			return now.Sub(f.ackAt) < r.timing.Lease
		}
	}
	return false
}

// retire removes one member that has been silent for long, provided that all others answer and are at
// least as many as founded the log, so that its loss has been made good by a guest.
func (r *Replica) retire(now time.Time, l *leadership) {
	gone, ok := r.retiree(now, l)
	if ok {
		r.change(l.tomb.Context(context.Background()), func(m Members) Members { return m.Without(gone.ID) })
	}
}

func (r *Replica) retiree(now time.Time, l *leadership) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.log.members()
	if r.setup.RemoveAfter == 0 || len(members) <= minMembers {
		return Member{}, false
	}
	var gone Member
	for _, member := range members {
		if member.ID == r.store.id || r.isHeard(now, l, member.Name) {
			continue
		}
		f := l.followers[member.ID]
		since := l.began
		if f != nil && f.ackAt.After(since) {
			since = f.ackAt
		}
		if gone.ID != "" || now.Sub(since) < r.setup.RemoveAfter {
			return Member{}, false
		}
		gone = member
	}
	return gone, gone.ID != ""
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
	if _, ok := r.memberNamed(name); !ok && r.setup.MaxMembers > 0 && r.size() >= r.setup.MaxMembers {
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

func (r *Replica) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.log.members())
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
		if !errors.Is(err, ErrMembershipChanging) {
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

package paxos

import (
	"context"
	"errors"
	"slices"
	"time"
)

// memberCheckHeartbeats is the number of heartbeats between two checks of which identities respond under the members'
// names.
const memberCheckHeartbeats = 3

// maintainMembers adds each replica that responds under the name of an initial member or a member with an identity that
// has no vote: a replica whose disk was lost, or one that an earlier leader has removed and not yet added again. It also
// removes members that are gone, and makes the changes that Config.NextChange asks for.
func (r *Replica) maintainMembers(t *tenure) error {
	for t.tomb.Alive() {
		r.removeGone(t)
		for _, name := range r.namesToIdentify(time.Now(), t) {
			r.replaceMember(t, name)
		}
		r.makeNextChange(t)
		t.awaitCheck(memberCheckHeartbeats * r.timing.Heartbeat)
	}
	return nil
}

// namesToIdentify lists the names under which an identity without a vote may respond. A responsive member is left out:
// its identity lasts as long as its process.
func (r *Replica) namesToIdentify(now time.Time, t *tenure) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	isFull := r.config.MaxMembers > 0 && len(r.log.members()) >= r.config.MaxMembers
	add := func(name string) {
		if name != r.name && !slices.Contains(names, name) && !r.isResponsive(now, t, name) {
			names = append(names, name)
		}
	}
	for _, member := range r.log.members() {
		add(member.Name)
	}
	for _, name := range r.config.InitialMembers {
		if !isFull { // another replica may have taken the place of an initial member
			add(name)
		}
	}
	return names
}

// makeNextChange makes the change of the members that Config.NextChange asks for. A replica that takes the place of
// another one is added first: with one member more, as many disks may be lost as before.
func (r *Replica) makeNextChange(t *tenure) {
	if r.config.NextChange == nil {
		return
	}
	join, replaces := r.config.NextChange(time.Now())
	if join == "" {
		return
	}
	if replaces == "" {
		r.replaceMember(t, join)
		return
	}
	replaced, ok := r.memberNamed(replaces)
	if !ok || replaced.ID == r.store.id || r.memberCount() != r.config.MaxMembers || !r.allResponsive(time.Now(), t) {
		return
	}
	identity, ok := r.identify(join)
	if !ok || identity.ID == "" || r.hasMember(identity.ID) {
		return
	}
	f := r.startJoin(t, Member{Name: join, ID: identity.ID})
	defer r.endJoin(t)
	if !r.awaitCatchUp(t, f) {
		return
	}
	ctx := t.tomb.Context(context.Background())
	if r.changeMembers(ctx, func(m Members) Members { return m.With(f.member) }) {
		r.changeMembers(ctx, func(m Members) Members { return m.Without(replaced.ID) })
	}
}

// allResponsive reports whether all members are responsive.
func (r *Replica) allResponsive(now time.Time, t *tenure) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, member := range r.log.members() {
		if member.ID != r.store.id && !r.isResponsive(now, t, member.Name) {
			return false
		}
	}
	return true
}

// isResponsive reports whether the member of this name has acknowledged a message sent within the last lease period.
func (r *Replica) isResponsive(now time.Time, t *tenure, name string) bool {
	for _, member := range r.log.members() {
		if f := t.followers[member.ID]; member.Name == name && f != nil {
			return now.Sub(f.ackSentAt) < r.timing.Lease
		}
	}
	return false
}

// replaceMember adds the identity that responds under name, in place of the member of that name if there is one. The
// new replica holds every committed entry before the old member is removed, and counts towards a quorum only once the
// second membership change adds it.
func (r *Replica) replaceMember(t *tenure, name string) {
	if _, ok := r.memberNamed(name); !ok && r.isFull(time.Now(), t) {
		return
	}
	identity, ok := r.identify(name)
	if !ok || identity.ID == "" || r.hasMember(identity.ID) {
		return
	}
	f := r.startJoin(t, Member{Name: name, ID: identity.ID})
	defer r.endJoin(t)
	if !r.awaitCatchUp(t, f) {
		return
	}
	ctx := t.tomb.Context(context.Background())
	if old, ok := r.memberNamed(name); ok {
		if !r.changeMembers(ctx, func(m Members) Members { return m.Without(old.ID) }) {
			return
		}
		if !r.awaitCatchUp(t, f) {
			return
		}
	}
	r.changeMembers(ctx, func(m Members) Members { return m.With(f.member) })
}

func (r *Replica) memberCount() int {
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

func (r *Replica) startJoin(t *tenure, member Member) *follower {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.joiningID = member.ID
	delete(t.leaving, member.ID) // it has started again: a replica that is about to stop has no identity
	return r.startFollower(t, member)
}

func (r *Replica) endJoin(t *tenure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.joiningID = ""
}

// awaitCatchUp waits until a follower holds all entries that were committed at the time of the call. It returns false
// when the tenure ends or the follower makes no progress for a lease period.
func (r *Replica) awaitCatchUp(t *tenure, f *follower) bool {
	r.mu.Lock()
	target, lastMatch := r.commit, f.match
	r.mu.Unlock()
	progressAt := time.Now()
	for t.tomb.Alive() {
		r.mu.Lock()
		match := f.match
		r.mu.Unlock()
		if match >= target {
			return true
		}
		if now := time.Now(); match > lastMatch {
			lastMatch, progressAt = match, now
		} else if now.Sub(progressAt) > r.timing.Lease {
			return false
		}
		t.pause(r.timing.Heartbeat)
	}
	return false
}

// changeMembers proposes a new membership and reports whether it was chosen. It retries while another membership change
// is in progress.
func (r *Replica) changeMembers(ctx context.Context, next func(Members) Members) bool {
	for ctx.Err() == nil {
		r.mu.Lock()
		members := next(r.log.members())
		currentTenure := r.currentTenure
		r.mu.Unlock()
		if currentTenure == nil {
			return false
		}
		_, _, err := r.propose(ctx, proposal{kind: KindMembers, members: members, done: make(chan outcome, 1)})
		if !errors.Is(err, ErrMembershipChanging) {
			return err == nil
		}
		currentTenure.pause(r.timing.Heartbeat)
	}
	return false
}

func (t *tenure) pause(period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.tomb.Dying():
	}
}

// checkMembers makes maintainMembers check the members now.
func (t *tenure) checkMembers() {
	select {
	case t.membersDue <- struct{}{}:
	default:
	}
}

// awaitCheck waits until a check of the members is due, for period at most.
func (t *tenure) awaitCheck(period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.membersDue:
	case <-t.tomb.Dying():
	}
}

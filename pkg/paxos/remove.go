package paxos

import (
	"context"
	"errors"
	"time"
)

// ErrMemberKept is returned for a member that is to leave and that the log can't do without, from the leader.
var ErrMemberKept = errors.New("the member keeps its vote, since the log can't do without it")

// defaultMinMembers is Config.MinMembers where it is not set: with fewer than three, the loss of one more would stop the
// log.
const defaultMinMembers = 3

// Retire makes this replica, which is about to stop, unavailable as a new member. It keeps the vote that it has until the
// leader removes it.
func (r *Replica) Retire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isRetired = true
}

// RemoveLeaving removes a member that is about to stop, once another one has taken its place if the log needs as many. It
// returns nil once the replica with this identity is no member, ErrMemberKept if it is still one when ctx ends, and
// otherwise ErrNotLeader.
func (r *Replica) RemoveLeaving(ctx context.Context, now time.Time, id string) error {
	r.mu.Lock()
	t := r.currentTenure
	if t != nil {
		t.leaving[id] = now
	}
	r.mu.Unlock()
	if t == nil {
		return ErrNotLeader
	}
	t.checkMembers()
	for r.isCommittedMember(id) {
		select {
		case <-ctx.Done():
			return ErrMemberKept
		case <-t.tomb.Dead():
			if r.isCommittedMember(id) {
				return ErrNotLeader
			}
		case <-time.After(removalPollInterval):
		}
	}
	return nil
}

// isCommittedMember reports whether the removal of a replica from the members is not committed. Before that a leader which
// removes itself must not stop, since the others may not have the change yet.
func (r *Replica) isCommittedMember(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.membersAt(r.commit).Has(id)
}

// removalPollInterval is the time between two checks of whether a leaving member has been removed.
const removalPollInterval = 10 * time.Millisecond

// removeGone removes the members that are about to stop and those that have acknowledged nothing for RemoveAfter, one
// after the other, as far as memberToRemove allows it.
func (r *Replica) removeGone(t *tenure) {
	ctx := t.tomb.Context(context.Background())
	for ctx.Err() == nil {
		r.mu.Lock()
		gone, ok := memberToRemove(r.log.members(), r.presences(time.Now(), t), r.config.minMembers(), r.config.RemoveAfter)
		r.mu.Unlock()
		if !ok || !r.changeMembers(ctx, func(m Members) Members { return m.Without(gone.ID) }) {
			return
		}
	}
}

// presence is what the leader knows of whether a member takes part.
type presence struct {
	silentFor time.Duration // how long it has acknowledged nothing, 0 while it responds
	isLeaving bool          // it is about to stop
}

// isGone reports whether the vote of the member is to go to another replica.
func (p presence) isGone(removeAfter time.Duration) bool {
	return removeAfter > 0 && (p.isLeaving || p.silentFor >= removeAfter)
}

// presences returns the presence of each member by identity. The caller holds r.mu.
func (r *Replica) presences(now time.Time, t *tenure) map[string]presence {
	known := make(map[string]presence)
	for _, member := range r.log.members() {
		var p presence
		if member.ID != r.store.id && !r.isResponsive(now, t, member.Name) {
			lastAck := t.startedAt
			if f := t.followers[member.ID]; f != nil && f.ackSentAt.After(lastAck) {
				lastAck = f.ackSentAt
			}
			p.silentFor = now.Sub(lastAck)
		}
		// A member that stops is silent soon. One that still responds after that has only restarted.
		leftAt, ok := t.leaving[member.ID]
		p.isLeaving = ok && now.Sub(leftAt) < r.config.RemoveAfter
		known[member.ID] = p
	}
	return known
}

// memberToRemove returns the next member to remove, and whether there is one: of the members that are gone the one that is
// about to stop, or else the one that has been silent longest. At least minMembers remain, and majorities of the members
// now and of those that remain take part: so many more may be lost as before the removal, or one more.
func memberToRemove(members Members, known map[string]presence, minMembers int, removeAfter time.Duration) (Member, bool) {
	var gone Member
	responsive, staying := 0, 0
	for _, member := range members {
		p, found := known[member.ID], known[gone.ID]
		if p.isGone(removeAfter) && (gone.ID == "" || p.isLeaving && !found.isLeaving || p.isLeaving == found.isLeaving && p.silentFor > found.silentFor) {
			gone = member
		}
		if p.silentFor == 0 {
			responsive++
			if !p.isLeaving {
				staying++
			}
		}
	}
	if gone.ID == "" || len(members) <= minMembers || responsive < members.Quorum() || staying < members.Without(gone.ID).Quorum() {
		return Member{}, false
	}
	return gone, true
}

// Gone returns the names of the members whose votes are to go to other replicas, if this replica leads.
func (r *Replica) Gone(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.currentTenure == nil {
		return nil
	}
	return r.goneLocked(now, r.currentTenure)
}

func (r *Replica) goneLocked(now time.Time, t *tenure) (names []string) {
	known := r.presences(now, t)
	for _, member := range r.log.members() {
		if known[member.ID].isGone(r.config.RemoveAfter) {
			names = append(names, member.Name)
		}
	}
	return names
}

// isFull reports whether no replica can be added before a member is removed. In place of a member that is gone another
// replica is added first, so that the log always has its members; one such addition is made at a time.
func (r *Replica) isFull(now time.Time, t *tenure) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	count, most := len(r.log.members()), r.config.MaxMembers
	return most > 0 && (count > most || count-len(r.goneLocked(now, t)) >= most)
}

func (c Config) minMembers() int {
	if c.MinMembers == 0 {
		return defaultMinMembers
	}
	return c.MinMembers
}

package paxos

import (
	"context"
	"time"
)

// minMembers is the number of members that must remain after one is removed: with fewer than three, the loss of one more
// would stop the log.
const minMembers = 3

// removeUnresponsive removes the members that have acknowledged nothing for RemoveAfter, one after the other, as far as
// memberToRemove allows it.
func (r *Replica) removeUnresponsive(t *tenure) {
	ctx := t.tomb.Context(context.Background())
	for ctx.Err() == nil {
		r.mu.Lock()
		members := r.log.members()
		gone, ok := memberToRemove(members, r.silences(time.Now(), t), r.config.RemoveAfter)
		r.mu.Unlock()
		if !ok || !r.changeMembers(ctx, func(m Members) Members { return m.Without(gone.ID) }) {
			return
		}
	}
}

// silences returns how long each unresponsive member has acknowledged nothing, by identity. The caller holds r.mu.
func (r *Replica) silences(now time.Time, t *tenure) map[string]time.Duration {
	silent := make(map[string]time.Duration)
	for _, member := range r.log.members() {
		if member.ID == r.store.id || r.isResponsive(now, t, member.Name) {
			continue
		}
		lastAck := t.startedAt
		if f := t.followers[member.ID]; f != nil && f.ackSentAt.After(lastAck) {
			lastAck = f.ackSentAt
		}
		silent[member.ID] = now.Sub(lastAck)
	}
	return silent
}

// memberToRemove returns the member that has been silent longest, and whether it is to be removed: it has been silent for
// removeAfter, a majority of the members responds, and at least minMembers remain. After that as many further members may
// be lost as before, or one more, however many others are silent. A zero removeAfter removes none.
func memberToRemove(members Members, silent map[string]time.Duration, removeAfter time.Duration) (Member, bool) {
	var gone Member
	for _, member := range members {
		if silence, ok := silent[member.ID]; ok && (gone.ID == "" || silence > silent[gone.ID]) {
			gone = member
		}
	}
	if removeAfter == 0 || gone.ID == "" || silent[gone.ID] < removeAfter {
		return Member{}, false
	}
	hasMajority := len(members)-len(silent) >= members.Quorum()
	if !hasMajority || len(members) <= minMembers {
		return Member{}, false
	}
	return gone, true
}

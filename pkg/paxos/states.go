package paxos

import "time"

//go:generate go tool stringer -type ReplicaState -linecomment

// ReplicaState is how much of the log a replica holds, according to the leader.
type ReplicaState int

// The states of a replica. A replica that does not lead reports ReplicaUnknown for all members. A replica in sync votes
// and holds the committed entries, except for at most those of the newest batch. A replica that is catching up has no
// vote yet or lacks a part of the log. An unresponsive replica has acknowledged no message of the last lease period.
const (
	ReplicaUnknown      ReplicaState = iota // unknown
	ReplicaInSync                           // whole
	ReplicaCatchingUp                       // repairing
	ReplicaUnresponsive                     // silent
)

// maxInSyncLag is the number of committed entries that an in-sync replica may lack: those of one batch.
const maxInSyncLag = maxBatch

// ReplicaStates returns the state of each member at time now, and that of a joining replica, by name. While a replica
// is not in sync, the loss of another one may stop the log.
func (r *Replica) ReplicaStates(now time.Time) map[string]ReplicaState {
	r.mu.Lock()
	defer r.mu.Unlock()
	states := make(map[string]ReplicaState)
	for _, member := range r.log.membersAt(r.commit) {
		switch {
		case r.currentTenure == nil:
			states[member.Name] = ReplicaUnknown
		case member.ID == r.store.id:
			states[member.Name] = ReplicaInSync
		default:
			states[member.Name] = r.followerState(now, r.currentTenure.followers[member.ID])
		}
	}
	if r.currentTenure != nil && r.currentTenure.joiningID != "" {
		if f := r.currentTenure.followers[r.currentTenure.joiningID]; f != nil && states[f.member.Name] != ReplicaInSync {
			states[f.member.Name] = ReplicaCatchingUp
		}
	}
	return states
}

func (r *Replica) followerState(now time.Time, f *follower) ReplicaState {
	switch {
	case f == nil || now.Sub(f.ackSentAt) >= r.timing.Lease:
		return ReplicaUnresponsive
	case f.match+maxInSyncLag < r.commit:
		return ReplicaCatchingUp
	}
	return ReplicaInSync
}

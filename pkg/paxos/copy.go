package paxos

import "time"

//go:generate go tool stringer -type ReplicaState -linecomment

// ReplicaState is how much of the log the replica of a name holds, as far as the leader knows.
type ReplicaState int

// The states of a copy: what a replica that does not lead knows of others is nothing; a whole one votes and holds all
// that is chosen; one under repair has no vote yet or lacks a part of the log; a silent one has not answered for the
// time of a lease.
const (
	ReplicaUnknown      ReplicaState = iota // unknown
	ReplicaInSync                           // whole
	ReplicaCatchingUp                       // repairing
	ReplicaUnresponsive                     // silent
)

// nearlyWhole is how many entries a replica may be behind that is kept up to date: those of one batch.
const nearlyWhole = maxBatch

// ReplicaStates returns the state of each member, and of a replica that is about to become one, by name. While one is not
// whole, the loss of another one may stop the log.
func (r *Replica) ReplicaStates(now time.Time) map[string]ReplicaState {
	r.mu.Lock()
	defer r.mu.Unlock()
	copies := make(map[string]ReplicaState)
	for _, member := range r.log.membersAt(r.commit) {
		switch {
		case r.lead == nil:
			copies[member.Name] = ReplicaUnknown
		case member.ID == r.store.id:
			copies[member.Name] = ReplicaInSync
		default:
			copies[member.Name] = r.copyOf(now, r.lead.followers[member.ID])
		}
	}
	if r.lead != nil && r.lead.joining != "" {
		if f := r.lead.followers[r.lead.joining]; f != nil && copies[f.member.Name] != ReplicaInSync {
			copies[f.member.Name] = ReplicaCatchingUp
		}
	}
	return copies
}

func (r *Replica) copyOf(now time.Time, f *follower) ReplicaState {
	switch {
	case f == nil || now.Sub(f.ackAt) >= r.timing.Lease:
		return ReplicaUnresponsive
	case f.match+nearlyWhole < r.commit:
		return ReplicaCatchingUp
	}
	return ReplicaInSync
}

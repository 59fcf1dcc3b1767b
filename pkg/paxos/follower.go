package paxos

import (
	"context"
	"time"
)

// follower is the leader's record of one other replica.
type follower struct {
	member      Member
	next        uint64    // index of the next entry to send
	match       uint64    // the follower's log matches the leader's up to this index
	ackSentAt   time.Time // send time of the newest acknowledged message
	replicating bool      // whether the replicate task runs
	unsure      bool      // the newest message got no reply, so the follower may hold more than match
	wake        chan struct{}
}

func (f *follower) trigger() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// replicate sends the log to a follower until the tenure ends or the follower is no longer a member or joining.
func (r *Replica) replicate(t *tenure, f *follower) error {
	for t.tomb.Alive() {
		if !r.shouldReplicate(t, f) {
			return nil
		}
		more, err := r.replicateOnce(t, f)
		if err != nil {
			return err
		}
		if !more {
			f.waitForWork(t, r.timing.Heartbeat)
		}
	}
	return nil
}

// waitForWork waits for a trigger, the next heartbeat or the end of the tenure.
func (f *follower) waitForWork(t *tenure, heartbeat time.Duration) {
	timer := time.NewTimer(heartbeat)
	defer timer.Stop()
	select {
	case <-f.wake:
	case <-timer.C:
	case <-t.tomb.Dying():
	}
}

// shouldReplicate reports whether a follower is a member or joining. If not, it marks the replicate task as ended.
func (r *Replica) shouldReplicate(t *tenure, f *follower) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.joiningID == f.member.ID || r.log.members().Has(f.member.ID) {
		return true
	}
	f.replicating = false
	return false
}

// replicateOnce sends one message and reports whether there is more to send.
func (r *Replica) replicateOnce(t *tenure, f *follower) (bool, error) {
	accept, install, err := r.nextMessage(t, f)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), r.timing.timeoutFor(dataBytes(accept, install)))
	defer cancel()
	sentAt := time.Now()
	var reply AcceptReply
	if install != nil {
		reply, err = r.transport.Install(ctx, f.member.Name, *install)
	} else {
		reply, err = r.transport.Accept(ctx, f.member.Name, *accept)
	}
	if err != nil {
		r.mu.Lock()
		f.unsure = true
		r.mu.Unlock()
		return false, nil
	}
	return r.handleReply(sentAt, t, f, reply)
}

// dataBytes returns the size of the data in the message that is not nil.
func dataBytes(accept *AcceptArgs, install *SnapshotMessage) (bytes int) {
	if install != nil {
		return len(install.Data)
	}
	for i := range accept.Entries {
		bytes += len(accept.Entries[i].Data)
	}
	return bytes
}

// nextMessage returns the next message for a follower: entries, or a snapshot if the log no longer holds them.
func (r *Replica) nextMessage(t *tenure, f *follower) (*AcceptArgs, *SnapshotMessage, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.next <= r.log.base && !f.unsure {
		message, err := r.snapshot()
		message.To = f.member.ID
		message.Ballot = t.ballot
		return nil, &message, err
	}
	args := &AcceptArgs{To: f.member.ID, Ballot: t.ballot, Prev: max(f.next, r.log.base+1) - 1, BallotStart: t.firstIndex, Commit: r.commit}
	// A follower that takes longer for a message than the call may last has received the entries nevertheless. It is asked
	// how far it has come, since it would take as long for the same entries again.
	if !f.unsure {
		args.Entries = r.log.batch(f.next, maxBatch, maxBatchBytes)
	}
	return args, nil, nil
}

// handleReply updates the record of a follower from its reply to a message that was sent at sentAt, and reports whether
// there is more to send. A higher promised ballot of a member ends the tenure.
func (r *Replica) handleReply(sentAt time.Time, t *tenure, f *follower, reply AcceptReply) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.ActualIdentity.ID != "" {
		return false, nil
	}
	if t.ballot.Less(reply.Promised) {
		if r.log.members().Has(f.member.ID) {
			t.tomb.Kill(nil)
		}
		return false, nil
	}
	f.ackSentAt = sentAt
	f.unsure = false
	if !reply.OK {
		f.next = reply.Need
		return true, nil
	}
	f.match = max(f.match, reply.Match)
	f.next = f.match + 1
	if err := r.advanceCommit(t); err != nil {
		return false, r.fail(err)
	}
	return f.next <= r.log.last(), nil
}

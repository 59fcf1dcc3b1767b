package paxos

import (
	"context"
	"time"
)

// follower is the leader's record of one other replica.
type follower struct {
	member  Member
	next    uint64
	match   uint64
	ackAt   time.Time // when the newest message that it has confirmed was sent
	engaged bool
	wake    chan struct{}
}

func (f *follower) rouse() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// replicate keeps one follower up to date until the leadership ends or the follower has left.
func (r *Replica) replicate(l *leadership, f *follower) error {
	for l.tomb.Alive() {
		if !r.belongs(l, f) {
			return nil
		}
		more, err := r.replicateOnce(l, f)
		if err != nil {
			return err
		}
		if !more {
			f.rest(l, r.timing.Heartbeat)
		}
	}
	return nil
}

func (f *follower) rest(l *leadership, heartbeat time.Duration) {
	timer := time.NewTimer(heartbeat)
	defer timer.Stop()
	select {
	case <-f.wake:
	case <-timer.C:
	case <-l.tomb.Dying():
	}
}

// belongs reports whether a follower is a member, or one that is being brought up to become one.
func (r *Replica) belongs(l *leadership, f *follower) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.joining == f.member.ID || r.log.members().Has(f.member.ID) {
		return true
	}
	f.engaged = false
	return false
}

// replicateOnce sends one message; it reports whether more entries wait.
func (r *Replica) replicateOnce(l *leadership, f *follower) (bool, error) {
	ctx, cancel := context.WithTimeout(l.tomb.Context(context.Background()), r.timing.Timeout)
	defer cancel()
	accept, install, err := r.nextMessage(l, f)
	if err != nil {
		return false, err
	}
	sent := time.Now()
	var reply AcceptReply
	if install != nil {
		reply, err = r.transport.Install(ctx, f.member.Name, *install)
	} else {
		reply, err = r.transport.Accept(ctx, f.member.Name, *accept)
	}
	if err != nil {
		return false, nil
	}
	return r.confirm(sent, l, f, reply)
}

// nextMessage builds what the follower needs next: entries, or a snapshot when they are gone.
func (r *Replica) nextMessage(l *leadership, f *follower) (*AcceptArgs, *SnapshotMessage, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.next <= r.log.base {
		args, err := r.snapshot()
		args.To = f.member.ID
		args.Ballot = l.ballot
		return nil, &args, err
	}
	return &AcceptArgs{
		To:          f.member.ID,
		Ballot:      l.ballot,
		Prev:        f.next - 1,
		BallotStart: l.opened,
		Commit:      r.commit,
		Entries:     r.log.batch(f.next, maxBatch, maxBatchBytes),
	}, nil, nil
}

// confirm takes in a follower's answer.
func (r *Replica) confirm(sent time.Time, l *leadership, f *follower, reply AcceptReply) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.ActualIdentity.ID != "" {
		return false, nil
	}
	if l.ballot.Less(reply.Promised) {
		if r.log.members().Has(f.member.ID) {
			l.tomb.Kill(nil)
		}
		return false, nil
	}
	f.ackAt = sent
	if !reply.OK {
		f.next = reply.Need
		return true, nil
	}
	f.match = max(f.match, reply.Match)
	f.next = f.match + 1
	if err := r.advance(l); err != nil {
		return false, r.fail(err)
	}
	return f.next <= r.log.last(), nil
}

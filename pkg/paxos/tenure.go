package paxos

import (
	"context"
	"slices"
	"time"

	"gopkg.in/tomb.v2"
)

// Limits of batches, and of proposals that wait to be appended.
const (
	maxBatch      = 256       // entries
	maxBatchBytes = 128 << 10 // bytes; a part of a core encodes and sends this much well within Timing.Timeout
	maxPending    = 4096      // proposals
)

// tenure is the period in which one replica leads under one ballot.
type tenure struct {
	ballot     Ballot
	firstIndex uint64    // index of the no-op entry that follows the adopted entries
	startedAt  time.Time // send time of the prepare requests that won the election
	tomb       tomb.Tomb
	proposals  chan proposal
	followers  map[string]*follower // by identity
	joiningID  string               // identity of the replica that catches up in order to join
	leaving    map[string]time.Time // when a member has said that it is about to stop, by identity
	membersDue chan struct{}        // holds a value when the members are to be checked at once
}

// proposal is an entry to be appended to the log.
type proposal struct {
	kind     Kind
	data     []byte
	members  Members
	inBallot Ballot // the only ballot under which to propose the entry; the zero value allows any
	done     chan outcome
}

// outcome is the result of a proposal.
type outcome struct {
	result []byte
	index  uint64
	err    error
}

// waiter is a proposer that waits for its entry to be chosen.
type waiter struct {
	ballot Ballot
	done   chan outcome
}

func newTenure(now time.Time, ballot Ballot, firstIndex uint64) *tenure {
	return &tenure{
		ballot:     ballot,
		firstIndex: firstIndex,
		startedAt:  now,
		proposals:  make(chan proposal, maxPending),
		followers:  make(map[string]*follower),
		leaving:    make(map[string]time.Time),
		membersDue: make(chan struct{}, 1),
	}
}

// follower returns the record of a replica; replication to a replica without a record starts at index next.
func (t *tenure) follower(member Member, next uint64) *follower {
	f, ok := t.followers[member.ID]
	if !ok {
		f = &follower{member: member, next: next, wake: make(chan struct{}, 1)}
		t.followers[member.ID] = f
	}
	return f
}

// leaseUntil returns the time until which a quorum has promised to follow no other leader. A tenth of the lease is
// subtracted, since clocks may run at different rates.
func (t *tenure) leaseUntil(now time.Time, members Members, self string, lease time.Duration) time.Time {
	var acks []time.Time
	for _, member := range members {
		switch f := t.followers[member.ID]; {
		case member.ID == self:
			acks = append(acks, now)
		case f != nil:
			acks = append(acks, f.ackSentAt)
		default:
			acks = append(acks, time.Time{})
		}
	}
	if len(acks) == 0 {
		return time.Time{}
	}
	slices.SortFunc(acks, func(a, b time.Time) int { return b.Compare(a) })
	return acks[members.Quorum()-1].Add(lease - lease/10)
}

// Propose appends data to the log and returns the state machine's result and the index of the entry. After ErrNotLeader
// the data is not in the log; after ErrOutcomeUnknown it may or may not be.
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, uint64, error) {
	return r.ProposeInBallot(ctx, Ballot{}, data)
}

// ProposeInBallot is like Propose for data that was decided on under one ballot: under any other ballot it returns
// ErrNotLeader. The zero ballot allows any.
func (r *Replica) ProposeInBallot(ctx context.Context, ballot Ballot, data []byte) ([]byte, uint64, error) {
	return r.propose(ctx, proposal{kind: KindCommand, data: data, inBallot: ballot, done: make(chan outcome, 1)})
}

func (r *Replica) propose(ctx context.Context, p proposal) ([]byte, uint64, error) {
	r.mu.Lock()
	currentTenure := r.currentTenure
	r.mu.Unlock()
	if currentTenure == nil || p.inBallot != (Ballot{}) && p.inBallot != currentTenure.ballot {
		return nil, 0, ErrNotLeader
	}
	select {
	case currentTenure.proposals <- p:
	case <-ctx.Done():
		return nil, 0, ErrNotLeader
	}
	select {
	case out := <-p.done:
		return out.result, out.index, out.err
	case <-ctx.Done():
		return nil, 0, ErrOutcomeUnknown
	case <-currentTenure.tomb.Dead():
		return nil, 0, ErrOutcomeUnknown
	}
}

// runTenure runs the tasks of a leader until its tenure ends. It returns the replica's failure, if any.
func (r *Replica) runTenure(t *tenure) error {
	t.tomb.Go(func() error { return r.appendProposals(t) })
	t.tomb.Go(func() error { return r.watchLease(t) })
	t.tomb.Go(func() error { return r.maintainMembers(t) })
	r.mu.Lock()
	r.startFollowers(t)
	r.mu.Unlock()
	select {
	case <-t.tomb.Dying():
	case <-r.tomb.Dying():
	}
	t.tomb.Kill(nil)
	err := t.tomb.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentTenure = nil
	if r.leader == r.name {
		r.leader = ""
	}
	r.failWaiters()
	if r.failed != nil {
		return r.failed
	}
	return err
}

// startFollowers starts a replicate task for each member that has none, and advances the commit index.
func (r *Replica) startFollowers(t *tenure) {
	for _, member := range r.log.members() {
		if member.ID != r.store.id {
			r.startFollower(t, member)
		}
	}
	if err := r.advanceCommit(t); err != nil {
		r.fail(err)
	}
}

func (r *Replica) startFollower(t *tenure, member Member) *follower {
	f := t.follower(member, r.commit+1)
	if !f.replicating && t.tomb.Alive() {
		f.replicating = true
		t.tomb.Go(func() error { return r.replicate(t, f) })
	}
	return f
}

// failWaiters returns ErrOutcomeUnknown to all waiting proposers.
func (r *Replica) failWaiters() {
	for index, w := range r.waiters {
		w.done <- outcome{err: ErrOutcomeUnknown}
		delete(r.waiters, index)
	}
}

// watchLease ends the tenure once shouldStepDown reports so.
func (r *Replica) watchLease(t *tenure) error {
	ticker := time.NewTicker(r.timing.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-t.tomb.Dying():
			return nil
		case now := <-ticker.C:
			if r.shouldStepDown(now, t) {
				t.tomb.Kill(nil)
				return nil
			}
		}
	}
}

// shouldStepDown reports whether this replica's removal is committed, or a quorum has stopped acknowledging messages
// and the lease expired more than another lease period ago.
func (r *Replica) shouldStepDown(now time.Time, t *tenure) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.log.members()
	if !members.Has(r.store.id) && r.commit == r.log.last() {
		return true
	}
	return now.After(t.leaseUntil(now, members, r.store.id, r.timing.Lease).Add(r.timing.Lease))
}

// appendProposals appends queued proposals to the log in batches.
func (r *Replica) appendProposals(t *tenure) error {
	for {
		select {
		case <-t.tomb.Dying():
			return nil
		case first := <-t.proposals:
			if err := r.appendBatch(t, t.collectBatch(first)); err != nil {
				return err
			}
		}
	}
}

func (t *tenure) collectBatch(first proposal) []proposal {
	batch := []proposal{first}
	for len(batch) < maxBatch {
		select {
		case p := <-t.proposals:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// appendBatch assigns log indexes to proposals, makes them durable on this replica and triggers replication.
func (r *Replica) appendBatch(t *tenure, batch []proposal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.promised != t.ballot || r.failed != nil {
		t.tomb.Kill(nil)
		return nil
	}
	var entries []Entry
	changePending := r.log.hasMembershipChange(r.commit) || r.commit < t.firstIndex
	for _, p := range batch {
		if p.kind == KindMembers && changePending {
			p.done <- outcome{err: ErrMembershipChanging}
			continue
		}
		changePending = changePending || p.kind == KindMembers
		index := r.log.last() + uint64(len(entries)) + 1
		entries = append(entries, Entry{
			Index: index, Ballot: t.ballot, Kind: p.kind, Data: p.data, Members: p.members,
		})
		r.waiters[index] = waiter{ballot: t.ballot, done: p.done}
	}
	if err := r.store.write(r.commit, nil, entries); err != nil {
		return r.fail(err)
	}
	if err := r.putAll(entries); err != nil {
		return r.fail(err)
	}
	r.matchIndex = r.log.last()
	r.startFollowers(t)
	t.triggerAll()
	return nil
}

func (t *tenure) triggerAll() {
	for _, f := range t.followers {
		f.trigger()
	}
}

// advanceCommit moves the commit index to the highest entry that a quorum holds in this ballot.
func (r *Replica) advanceCommit(t *tenure) error {
	members := r.log.members()
	var matches []uint64
	for _, member := range members {
		switch f := t.followers[member.ID]; {
		case member.ID == r.store.id:
			matches = append(matches, r.matchIndex)
		case f != nil:
			matches = append(matches, f.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	slices.Reverse(matches)
	chosen := matches[members.Quorum()-1]
	if chosen <= r.commit || chosen < t.firstIndex {
		return nil
	}
	if err := r.applyUpTo(chosen); err != nil {
		return err
	}
	t.triggerAll()
	return nil
}

// completeProposal returns the result of a chosen entry to its proposer, or ErrOutcomeUnknown if the entry is of
// another ballot than the proposal.
func (r *Replica) completeProposal(entry Entry, result []byte) {
	w, ok := r.waiters[entry.Index]
	if !ok {
		return
	}
	delete(r.waiters, entry.Index)
	out := outcome{result: result, index: entry.Index}
	if w.ballot != entry.Ballot {
		out = outcome{err: ErrOutcomeUnknown}
	}
	w.done <- out
}

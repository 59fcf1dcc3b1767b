package paxos

import (
	"context"
	"slices"
	"time"

	"gopkg.in/tomb.v2"
)

// Limits of one batch.
const (
	maxBatch      = 256
	maxBatchBytes = 128 << 10 // what a part of a core encodes and sends well within the timeout of a call
	maxPending    = 4096
)

// leadership is the time in which one replica leads under one ballot.
type leadership struct {
	ballot    Ballot
	opened    uint64 // index of the first entry of its own
	began     time.Time
	tomb      tomb.Tomb
	proposals chan proposal
	followers map[string]*follower // by identity
	joining   string               // identity that is being brought up
}

// proposal is an entry on its way into the log.
type proposal struct {
	kind    Kind
	data    []byte
	members Members
	in      Ballot // under which alone it may be proposed; the zero value is any
	done    chan outcome
}

// outcome is what a proposer learns.
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

func newLeadership(now time.Time, ballot Ballot, opened uint64) *leadership {
	return &leadership{
		ballot:    ballot,
		opened:    opened,
		began:     now,
		proposals: make(chan proposal, maxPending),
		followers: make(map[string]*follower),
	}
}

// follower returns the record of a follower, new ones starting at index next.
func (l *leadership) follower(member Member, next uint64) *follower {
	f, ok := l.followers[member.ID]
	if !ok {
		f = &follower{member: member, next: next, wake: make(chan struct{}, 1)}
		l.followers[member.ID] = f
	}
	return f
}

// leaseUntil returns until when a quorum has promised not to follow anybody else. A tenth of the
// lease is held back for clocks that run at different speeds.
func (l *leadership) leaseUntil(now time.Time, members Members, self string, lease time.Duration) time.Time {
	var acks []time.Time
	for _, member := range members {
		switch f := l.followers[member.ID]; {
		case member.ID == self:
			acks = append(acks, now)
		case f != nil:
			acks = append(acks, f.ackAt)
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

// Propose puts data into the log and returns what the state machine made of it. After ErrOutcomeUnknown
// the data may or may not be in the log.
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, uint64, error) {
	return r.ProposeInBallot(ctx, Ballot{}, data)
}

// ProposeInBallot is Propose for data that was decided on under one ballot: under any other it is not proposed. The zero
// ballot is any.
func (r *Replica) ProposeInBallot(ctx context.Context, ballot Ballot, data []byte) ([]byte, uint64, error) {
	return r.propose(ctx, proposal{kind: KindCommand, data: data, in: ballot, done: make(chan outcome, 1)})
}

func (r *Replica) propose(ctx context.Context, p proposal) ([]byte, uint64, error) {
	r.mu.Lock()
	lead := r.lead
	r.mu.Unlock()
	if lead == nil || p.in != (Ballot{}) && p.in != lead.ballot {
		return nil, 0, ErrNotLeader
	}
	select {
	case lead.proposals <- p:
	case <-ctx.Done():
		return nil, 0, ErrNotLeader
	}
	select {
	case out := <-p.done:
		return out.result, out.index, out.err
	case <-ctx.Done():
		return nil, 0, ErrOutcomeUnknown
	case <-lead.tomb.Dead():
		return nil, 0, ErrOutcomeUnknown
	}
}

// reign runs the tasks of a leadership until it ends.
func (r *Replica) reign(l *leadership) error {
	l.tomb.Go(func() error { return r.appendProposals(l) })
	l.tomb.Go(func() error { return r.watchLease(l) })
	l.tomb.Go(func() error { return r.mend(l) })
	r.mu.Lock()
	r.engage(l)
	r.mu.Unlock()
	select {
	case <-l.tomb.Dying():
	case <-r.tomb.Dying():
	}
	l.tomb.Kill(nil)
	err := l.tomb.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lead = nil
	if r.leader == r.name {
		r.leader = ""
	}
	r.abandon()
	if r.failed != nil {
		return r.failed
	}
	return err
}

// engage starts a task for each member that has none.
func (r *Replica) engage(l *leadership) {
	for _, member := range r.log.members() {
		if member.ID != r.store.id {
			r.engageOne(l, member)
		}
	}
	if err := r.advance(l); err != nil {
		r.fail(err)
	}
}

func (r *Replica) engageOne(l *leadership, member Member) *follower {
	f := l.follower(member, r.commit+1)
	if !f.engaged && l.tomb.Alive() {
		f.engaged = true
		l.tomb.Go(func() error { return r.replicate(l, f) })
	}
	return f
}

// abandon tells all waiting proposers that their outcome is unknown.
func (r *Replica) abandon() {
	for index, w := range r.waiters {
		w.done <- outcome{err: ErrOutcomeUnknown}
		delete(r.waiters, index)
	}
}

// watchLease ends a leadership that a quorum no longer confirms.
func (r *Replica) watchLease(l *leadership) error {
	ticker := time.NewTicker(r.timing.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-l.tomb.Dying():
			return nil
		case now := <-ticker.C:
			if r.hasLapsed(now, l) {
				l.tomb.Kill(nil)
				return nil
			}
		}
	}
}

func (r *Replica) hasLapsed(now time.Time, l *leadership) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.log.members()
	if !members.Has(r.store.id) && r.commit == r.log.last() {
		return true
	}
	return now.After(l.leaseUntil(now, members, r.store.id, r.timing.Lease).Add(r.timing.Lease))
}

// appendProposals writes proposals to the log in batches.
func (r *Replica) appendProposals(l *leadership) error {
	for {
		select {
		case <-l.tomb.Dying():
			return nil
		case first := <-l.proposals:
			if err := r.appendBatch(l, l.drain(first)); err != nil {
				return err
			}
		}
	}
}

func (l *leadership) drain(first proposal) []proposal {
	batch := []proposal{first}
	for len(batch) < maxBatch {
		select {
		case p := <-l.proposals:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// appendBatch gives proposals their positions and makes them durable here.
func (r *Replica) appendBatch(l *leadership, batch []proposal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.promised != l.ballot || r.failed != nil {
		l.tomb.Kill(nil)
		return nil
	}
	var entries []Entry
	changing := r.log.hasChange(r.commit) || r.commit < l.opened
	for _, p := range batch {
		if p.kind == KindMembers && changing {
			p.done <- outcome{err: ErrMembershipChanging}
			continue
		}
		changing = changing || p.kind == KindMembers
		index := r.log.last() + uint64(len(entries)) + 1
		entries = append(entries, Entry{
			Index: index, Ballot: l.ballot, Kind: p.kind, Data: p.data, Members: p.members,
		})
		r.waiters[index] = waiter{ballot: l.ballot, done: p.done}
	}
	if err := r.store.write(r.commit, nil, entries); err != nil {
		return r.fail(err)
	}
	if err := r.putAll(entries); err != nil {
		return r.fail(err)
	}
	r.matched = r.log.last()
	r.engage(l)
	l.wakeAll()
	return nil
}

func (l *leadership) wakeAll() {
	for _, f := range l.followers {
		f.rouse()
	}
}

// advance moves the commit index to what a quorum holds in this ballot.
func (r *Replica) advance(l *leadership) error {
	members := r.log.members()
	var matches []uint64
	for _, member := range members {
		switch f := l.followers[member.ID]; {
		case member.ID == r.store.id:
			matches = append(matches, r.matched)
		case f != nil:
			matches = append(matches, f.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	slices.Reverse(matches)
	chosen := matches[members.Quorum()-1]
	if chosen <= r.commit || chosen < l.opened {
		return nil
	}
	if err := r.learn(chosen); err != nil {
		return err
	}
	l.wakeAll()
	return nil
}

// settle tells the proposer of a chosen entry its result.
func (r *Replica) settle(entry Entry, result []byte) {
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

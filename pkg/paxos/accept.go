package paxos

import (
	"slices"
	"time"
)

// HandlePrepare handles a prepare request that a candidate sent and that arrived at time now: the replica promises to
// accept no lower ballot and returns the entries that it has accepted from args.From on. While the lease of the leader
// may still run, no other candidate gets a promise. An error means that the replica has failed.
func (r *Replica) HandlePrepare(now time.Time, args PrepareArgs) (PrepareReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed != nil {
		return PrepareReply{}, r.failed
	}
	refusal := PrepareReply{Promised: r.promised}
	if args.To != r.store.id || !r.promised.Less(args.Ballot) {
		return refusal, nil
	}
	if r.currentTenure != nil || r.isLeasedToOther(now, args.Ballot.Name) {
		return refusal, nil
	}
	if args.PreVote {
		return PrepareReply{OK: true}, nil
	}
	if args.From <= r.log.base {
		return PrepareReply{Promised: r.promised, NeedsSnapshot: true}, nil
	}
	if err := r.store.write(r.commit, &args.Ballot, nil); err != nil {
		return PrepareReply{}, r.fail(err)
	}
	r.promised = args.Ballot
	r.lastContact = now
	r.leader = args.Ballot.Name
	return PrepareReply{OK: true, Entries: r.log.entriesFrom(args.From, int(r.log.last()))}, nil
}

// isLeasedToOther reports whether the lease of a leader other than name may still run.
func (r *Replica) isLeasedToOther(now time.Time, name string) bool {
	return now.Before(r.lastContact.Add(r.timing.Lease)) && r.leader != name
}

// HandleAccept stores the leader's entries that arrived at time now, and applies the entries that the leader has
// committed. An error means that the replica has failed.
func (r *Replica) HandleAccept(now time.Time, args AcceptArgs) (AcceptReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply, err := r.admit(now, args.To, args.Ballot); reply != nil || err != nil {
		return orEmpty(reply), err
	}
	if len(r.log.members()) == 0 {
		return AcceptReply{}, r.persistPromise(args.Ballot)
	}
	if args.Prev > r.matchIndex {
		return AcceptReply{Need: r.matchIndex + 1, Match: r.matchIndex}, r.persistPromise(args.Ballot)
	}
	if err := r.accept(args); err != nil {
		return AcceptReply{}, r.fail(err)
	}
	r.log.truncateStale(args.BallotStart, args.Ballot)
	if last := args.Prev + uint64(len(args.Entries)); last > r.matchIndex {
		r.matchIndex = last
	}
	if err := r.applyUpTo(min(args.Commit, r.matchIndex)); err != nil {
		return AcceptReply{}, r.fail(err)
	}
	// Until a leader has committed an entry of its own ballot, it may not know all that earlier leaders have committed.
	if args.Commit >= args.BallotStart && r.commit >= args.Commit {
		r.currentAt = now
	}
	return AcceptReply{OK: true, Match: r.matchIndex}, nil
}

// HandleInstall replaces the state with a leader's snapshot that arrived at time now, unless the replica has already
// committed as much. An error means that the replica has failed.
func (r *Replica) HandleInstall(now time.Time, args SnapshotMessage) (AcceptReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply, err := r.admit(now, args.To, args.Ballot); reply != nil || err != nil {
		return orEmpty(reply), err
	}
	if err := r.install(args); err != nil {
		return AcceptReply{}, r.fail(err)
	}
	return AcceptReply{OK: true, Match: r.matchIndex}, nil
}

// HandleFetch returns a snapshot of the committed state, for a candidate that lacks entries which other replicas hold
// only in a snapshot. An error is that of the state machine.
func (r *Replica) HandleFetch() (SnapshotMessage, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot()
}

// admit refuses a message for another identity or of a ballot lower than the promised one, and otherwise records
// contact with the leader. A nil reply means that the message is admitted.
func (r *Replica) admit(now time.Time, to string, ballot Ballot) (*AcceptReply, error) {
	if r.failed != nil {
		return nil, r.failed
	}
	if to != r.store.id {
		return &AcceptReply{ActualIdentity: Identity{ID: r.store.id, Empty: r.emptyLocked()}}, nil
	}
	if ballot.Less(r.promised) {
		return &AcceptReply{Promised: r.promised}, nil
	}
	r.lastContact = now
	r.leader = ballot.Name
	if r.matchBallot != ballot {
		r.matchBallot = ballot
		r.matchIndex = r.commit
	}
	return nil, nil
}

// persistPromise makes the ballot of an admitted message durable.
func (r *Replica) persistPromise(ballot Ballot) error {
	if !r.promised.Less(ballot) {
		return nil
	}
	if err := r.store.write(r.commit, &ballot, nil); err != nil {
		return r.fail(err)
	}
	r.promised = ballot
	return nil
}

// accept makes the ballot and the entries after the commit index durable.
func (r *Replica) accept(args AcceptArgs) error {
	entries := slices.DeleteFunc(args.Entries, func(entry Entry) bool {
		return entry.Index <= r.commit
	})
	var promise *Ballot
	if r.promised.Less(args.Ballot) {
		promise = &args.Ballot
	}
	if err := r.store.write(r.commit, promise, entries); err != nil {
		return err
	}
	r.promised = args.Ballot
	return r.putAll(entries)
}

func (r *Replica) putAll(entries []Entry) error {
	for _, entry := range entries {
		if err := r.log.put(entry); err != nil {
			return err
		}
	}
	return nil
}

// install adopts a snapshot that is newer than the committed state, and keeps the entries that follow it without a gap.
func (r *Replica) install(args SnapshotMessage) error {
	if args.Index < r.commit || args.Index == r.commit && len(r.log.baseMembers) > 0 {
		return r.persistPromise(args.Ballot)
	}
	promised := r.promised
	if promised.Less(args.Ballot) {
		promised = args.Ballot
	}
	tail := r.log.entriesFrom(max(args.Index, r.log.base)+1, int(r.log.last()))
	if len(tail) > 0 && tail[0].Index != args.Index+1 {
		tail = nil
	}
	snap := diskSnapshot{Index: args.Index, Members: args.Members, Data: args.Data}
	if err := r.store.save(snap, promised, tail); err != nil {
		return err
	}
	if err := r.machine.Restore(args.Index, args.Data); err != nil {
		return err
	}
	r.promised = promised
	r.log = logTail{base: args.Index, baseMembers: args.Members, entries: tail}
	r.commit = args.Index
	r.matchIndex = max(r.matchIndex, args.Index)
	return nil
}

// snapshot returns a message with a snapshot of the committed state.
func (r *Replica) snapshot() (SnapshotMessage, error) {
	data, err := r.machine.Snapshot()
	if err != nil {
		return SnapshotMessage{}, err
	}
	return SnapshotMessage{Index: r.commit, Members: r.log.membersAt(r.commit), Data: data}, nil
}

// applyUpTo applies the entries up to commit, and compacts the log once SnapshotEvery entries have been committed since
// the last snapshot.
func (r *Replica) applyUpTo(commit uint64) error {
	for r.commit < commit {
		entry := r.log.at(r.commit + 1)
		var result []byte
		if entry.Kind == KindCommand {
			result = r.machine.Apply(entry.Index, entry.Data)
		}
		r.commit = entry.Index
		r.completeProposal(entry, result)
	}
	if r.commit-r.log.base < r.timing.SnapshotEvery {
		return nil
	}
	return r.compact()
}

// compact replaces the committed entries with a snapshot.
func (r *Replica) compact() error {
	message, err := r.snapshot()
	if err != nil {
		return err
	}
	tail := r.log.entriesFrom(message.Index+1, int(r.log.last()))
	snap := diskSnapshot{Index: message.Index, Members: message.Members, Data: message.Data}
	if err := r.store.save(snap, r.promised, tail); err != nil {
		return err
	}
	r.log.rebase(message.Index, message.Members)
	return nil
}

func orEmpty(reply *AcceptReply) AcceptReply {
	if reply == nil {
		return AcceptReply{}
	}
	return *reply
}

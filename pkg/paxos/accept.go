package paxos

import (
	"slices"
	"time"
)

// HandlePrepare answers a candidate: a promise to accept nothing older, and what was accepted.
// While the lease of a leader that was heard runs, nobody else gets a promise.
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
	if r.lead != nil || r.standsBy(now, args.Ballot.Name) {
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
	r.heard = now
	r.leader = args.Ballot.Name
	return PrepareReply{OK: true, Entries: r.log.from(args.From, int(r.log.last()))}, nil
}

// standsBy reports whether the lease of another leader than name may still run.
func (r *Replica) standsBy(now time.Time, name string) bool {
	return now.Before(r.heard.Add(r.timing.Lease)) && r.leader != name
}

// HandleAccept stores the leader's entries and learns what is chosen.
func (r *Replica) HandleAccept(now time.Time, args AcceptArgs) (AcceptReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply, err := r.admit(now, args.To, args.Ballot); reply != nil || err != nil {
		return orEmpty(reply), err
	}
	if len(r.log.members()) == 0 {
		return AcceptReply{}, r.keepPromise(args.Ballot)
	}
	if args.Prev > r.matched {
		return AcceptReply{Need: r.matched + 1, Match: r.matched}, r.keepPromise(args.Ballot)
	}
	if err := r.accept(args); err != nil {
		return AcceptReply{}, r.fail(err)
	}
	r.log.cut(args.BallotStart, args.Ballot)
	if last := args.Prev + uint64(len(args.Entries)); last > r.matched {
		r.matched = last
	}
	if err := r.learn(min(args.Commit, r.matched)); err != nil {
		return AcceptReply{}, r.fail(err)
	}
	return AcceptReply{OK: true, Match: r.matched}, nil
}

// HandleInstall replaces the state by a leader's snapshot.
func (r *Replica) HandleInstall(now time.Time, args SnapshotMessage) (AcceptReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply, err := r.admit(now, args.To, args.Ballot); reply != nil || err != nil {
		return orEmpty(reply), err
	}
	if err := r.install(args); err != nil {
		return AcceptReply{}, r.fail(err)
	}
	return AcceptReply{OK: true, Match: r.matched}, nil
}

// HandleFetch returns a snapshot for a candidate that lacks what stands only there.
func (r *Replica) HandleFetch() (SnapshotMessage, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot()
}

// admit refuses a message for another identity or of an old ballot; nil means admitted.
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
	r.heard = now
	r.leader = ballot.Name
	if r.matchedIn != ballot {
		r.matchedIn = ballot
		r.matched = r.commit
	}
	return nil, nil
}

// keepPromise makes the ballot of an admitted message durable.
func (r *Replica) keepPromise(ballot Ballot) error {
	if !r.promised.Less(ballot) {
		return nil
	}
	if err := r.store.write(r.commit, &ballot, nil); err != nil {
		return r.fail(err)
	}
	r.promised = ballot
	return nil
}

// accept makes the ballot and the entries that are not chosen yet durable.
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

// install adopts a snapshot that is newer than what is chosen here.
func (r *Replica) install(args SnapshotMessage) error {
	if args.Index < r.commit || args.Index == r.commit && len(r.log.baseMembers) > 0 {
		return r.keepPromise(args.Ballot)
	}
	promised := r.promised
	if promised.Less(args.Ballot) {
		promised = args.Ballot
	}
	after := r.log.from(max(args.Index, r.log.base)+1, int(r.log.last()))
	if len(after) > 0 && after[0].Index != args.Index+1 {
		after = nil
	}
	img := image{Index: args.Index, Members: args.Members, Data: args.Data}
	if err := r.store.save(img, promised, after); err != nil {
		return err
	}
	if err := r.machine.Restore(args.Index, args.Data); err != nil {
		return err
	}
	r.promised = promised
	r.log = history{base: args.Index, baseMembers: args.Members, entries: after}
	r.commit = args.Index
	r.matched = max(r.matched, args.Index)
	return nil
}

// snapshot builds an image of the present state to send.
func (r *Replica) snapshot() (SnapshotMessage, error) {
	data, err := r.machine.Snapshot()
	if err != nil {
		return SnapshotMessage{}, err
	}
	return SnapshotMessage{Index: r.commit, Members: r.log.membersAt(r.commit), Data: data}, nil
}

// learn applies the entries up to commit and takes a snapshot when one is due.
func (r *Replica) learn(commit uint64) error {
	for r.commit < commit {
		entry := r.log.at(r.commit + 1)
		var result []byte
		if entry.Kind == KindCommand {
			result = r.machine.Apply(entry.Index, entry.Data)
		}
		r.commit = entry.Index
		r.settle(entry, result)
	}
	if r.commit-r.log.base < r.timing.SnapshotEvery {
		return nil
	}
	return r.compact()
}

// compact replaces the chosen entries by a snapshot.
func (r *Replica) compact() error {
	args, err := r.snapshot()
	if err != nil {
		return err
	}
	after := r.log.from(args.Index+1, int(r.log.last()))
	img := image{Index: args.Index, Members: args.Members, Data: args.Data}
	if err := r.store.save(img, r.promised, after); err != nil {
		return err
	}
	r.log.rebase(args.Index, args.Members)
	return nil
}

func orEmpty(reply *AcceptReply) AcceptReply {
	if reply == nil {
		return AcceptReply{}
	}
	return *reply
}

package paxos

import (
	"context"
	"errors"
	"time"
)

// prepareResult is the result of a prepare request to one voter.
type prepareResult struct {
	member Member
	reply  PrepareReply
	err    error
}

// runElection holds a pre-vote and an election. It returns nil if this replica does not become leader.
func (r *Replica) runElection(now time.Time) (*tenure, error) {
	ballot, from, voters := r.nextCandidacy()
	if !r.preVote(PrepareArgs{Ballot: ballot, From: from, PreVote: true}, voters) {
		return nil, nil
	}
	ok, err := r.promiseSelf(now, ballot)
	if err != nil || !ok {
		return nil, err
	}
	sentAt := time.Now()
	results := r.requestPromises(PrepareArgs{Ballot: ballot, From: from}, voters)
	if r.catchUp(results) {
		return nil, nil
	}
	return r.becomeLeader(sentAt, ballot, voters, results)
}

// nextCandidacy returns a ballot above the promised one, the index after the commit index, and the memberships in each
// of which a quorum must agree: the newest one in the log, and one that an earlier election has found.
func (r *Replica) nextCandidacy() (Ballot, uint64, []Members) {
	r.mu.Lock()
	defer r.mu.Unlock()
	voters := []Members{r.log.members()}
	if r.pendingMembers != nil {
		voters = append(voters, r.pendingMembers)
	}
	return Ballot{Round: r.promised.Round + 1, Name: r.name}, r.commit + 1, voters
}

// preVote reports whether an election would be won, without changing any state. A replica that comes back from a
// network partition therefore cannot depose a leader that the others still hear from.
func (r *Replica) preVote(args PrepareArgs, voters []Members) bool {
	return r.isQuorum(voters, r.requestPromises(args, voters))
}

// isQuorum reports whether this replica and the voters that agreed are a quorum of each membership in voters.
func (r *Replica) isQuorum(voters []Members, results []prepareResult) bool {
	granted := map[string]bool{r.store.id: true}
	for _, result := range results {
		if result.err == nil && result.reply.OK {
			granted[result.member.ID] = true
		}
	}
	for _, members := range voters {
		votes := 0
		for _, member := range members {
			if granted[member.ID] {
				votes++
			}
		}
		if votes < members.Quorum() {
			return false
		}
	}
	return true
}

// requestPromises sends args to each voter except this replica, and collects replies until a quorum has agreed.
func (r *Replica) requestPromises(args PrepareArgs, voters []Members) []prepareResult {
	timeout := r.timing.Timeout
	if !args.PreVote {
		timeout = r.timing.maxReplyTime() // promises carry entries
	}
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), timeout)
	defer cancel()
	recipients := r.otherVoters(voters)
	replies := make(chan prepareResult, len(recipients))
	for _, member := range recipients {
		go func() {
			request := args
			request.To = member.ID
			reply, err := r.transport.Prepare(ctx, member.Name, request)
			replies <- prepareResult{member: member, reply: reply, err: err}
		}()
	}
	var results []prepareResult
	for range recipients {
		results = append(results, <-replies)
		if r.isQuorum(voters, results) {
			break
		}
	}
	return results
}

func (r *Replica) otherVoters(voters []Members) Members {
	var recipients Members
	for _, members := range voters {
		for _, member := range members {
			if member.ID != r.store.id && !recipients.Has(member.ID) {
				recipients = recipients.With(member)
			}
		}
	}
	return recipients
}

// promiseSelf makes the candidate's own promise durable.
func (r *Replica) promiseSelf(now time.Time, ballot Ballot) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed != nil {
		return false, r.failed
	}
	if !r.promised.Less(ballot) || now.Before(r.lastContact.Add(r.timing.Lease)) {
		return false, nil
	}
	if err := r.store.write(r.commit, &ballot, nil); err != nil {
		return false, r.fail(err)
	}
	r.promised = ballot
	return true, nil
}

// catchUp installs the snapshot of a voter whose log no longer holds the requested entries. It reports whether there is
// such a voter, so that the election must start again.
func (r *Replica) catchUp(results []prepareResult) bool {
	for _, result := range results {
		if result.err != nil || !result.reply.NeedsSnapshot {
			continue
		}
		ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), r.timing.maxReplyTime())
		message, err := r.transport.Fetch(ctx, result.member.Name)
		cancel()
		if err != nil {
			return true
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if err := r.install(message); err != nil {
			r.fail(err)
		}
		return true
	}
	return false
}

var errGap = errors.New("adopted entries leave a gap")

// becomeLeader starts a tenure from a quorum of promises: for each index, it proposes the value of the highest
// ballot again, and a no-op entry of the leader's own ends the adopted part of the log. It returns nil if there is no
// quorum, also in a newer membership among these values; the next election then includes that membership.
func (r *Replica) becomeLeader(sentAt time.Time, ballot Ballot, voters []Members, results []prepareResult) (*tenure, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed != nil {
		return nil, r.failed
	}
	if r.promised != ballot || !r.isQuorum(voters, results) {
		return nil, nil
	}
	entries := r.selectEntries(ballot, results)
	if members := lastMembers(entries); members != nil && !r.isQuorum([]Members{members}, results) {
		r.pendingMembers = members
		return nil, nil
	}
	r.pendingMembers = nil
	firstIndex := r.commit + uint64(len(entries)) + 1
	entries = append(entries, Entry{Index: firstIndex, Ballot: ballot, Kind: KindNoop})
	if err := r.store.write(r.commit, nil, entries); err != nil {
		return nil, r.fail(err)
	}
	if err := r.putAll(entries); err != nil {
		return nil, r.fail(errors.Join(errGap, err))
	}
	r.log.truncateStale(firstIndex, ballot)
	r.matchIndex, r.matchBallot = firstIndex, ballot
	r.leader = r.name
	r.currentTenure = newTenure(sentAt, ballot, firstIndex)
	for _, result := range results {
		if result.err == nil && result.reply.OK {
			r.currentTenure.follower(result.member, r.commit+1).ackSentAt = sentAt
		}
	}
	return r.currentTenure, nil
}

// selectEntries returns, for each index after the commit index, the value of the highest ballot, or a no-op where
// there is none.
func (r *Replica) selectEntries(ballot Ballot, results []prepareResult) []Entry {
	best := make(map[uint64]Entry)
	last := r.commit
	consider := func(entry Entry) {
		if entry.Index <= r.commit {
			return
		}
		last = max(last, entry.Index)
		current, ok := best[entry.Index]
		if !ok || current.Ballot.Less(entry.Ballot) {
			best[entry.Index] = entry
		}
	}
	for _, entry := range r.log.entriesFrom(r.commit+1, len(r.log.entries)) {
		consider(entry)
	}
	for _, result := range results {
		for _, entry := range result.reply.Entries {
			consider(entry)
		}
	}
	var entries []Entry
	for index := r.commit + 1; index <= last; index++ {
		entry, ok := best[index]
		if !ok {
			entry = Entry{Kind: KindNoop}
		}
		entry.Index = index
		entry.Ballot = ballot
		entries = append(entries, entry)
	}
	return entries
}

func lastMembers(entries []Entry) Members {
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Kind == KindMembers {
			return entries[i].Members
		}
	}
	return nil
}

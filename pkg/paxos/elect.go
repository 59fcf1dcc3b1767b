package paxos

import (
	"context"
	"errors"
	"time"
)

// promise is one voter's answer to a candidate.
type promise struct {
	member Member
	reply  PrepareReply
	err    error
}

// campaign stands for election; it returns nil when the election is lost.
func (r *Replica) campaign(now time.Time) (*leadership, error) {
	ballot, from, voters := r.candidacy()
	if !r.poll(PrepareArgs{Ballot: ballot, From: from, PreVote: true}, voters) {
		return nil, nil
	}
	ok, err := r.promiseSelf(now, ballot)
	if err != nil || !ok {
		return nil, err
	}
	sent := time.Now()
	promises := r.ask(PrepareArgs{Ballot: ballot, From: from}, voters)
	if r.catchUp(promises) {
		return nil, nil
	}
	return r.adopt(sent, ballot, voters, promises)
}

// candidacy picks a ballot above all that were seen, and whom to ask: the newest membership,
// and with it one that an earlier attempt has revealed.
func (r *Replica) candidacy() (Ballot, uint64, []Members) {
	r.mu.Lock()
	defer r.mu.Unlock()
	voters := []Members{r.log.members()}
	if r.hint != nil {
		voters = append(voters, r.hint)
	}
	return Ballot{Round: r.promised.Round + 1, Name: r.name}, r.commit + 1, voters
}

// poll asks without changing anything whether an election would be won. A replica that comes back
// from a network partition therefore cannot unseat a leader that the others still hear.
func (r *Replica) poll(args PrepareArgs, voters []Members) bool {
	return r.isQuorum(voters, r.ask(args, voters))
}

func (r *Replica) isQuorum(voters []Members, promises []promise) bool {
	given := map[string]bool{r.store.id: true}
	for _, one := range promises {
		if one.err == nil && one.reply.OK {
			given[one.member.ID] = true
		}
	}
	for _, members := range voters {
		votes := 0
		for _, member := range members {
			if given[member.ID] {
				votes++
			}
		}
		if votes < members.Quorum() {
			return false
		}
	}
	return true
}

// ask sends args to each voter but this one, and collects answers until a quorum has agreed.
func (r *Replica) ask(args PrepareArgs, voters []Members) []promise {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), r.timing.Timeout)
	defer cancel()
	asked := r.others(voters)
	answers := make(chan promise, len(asked))
	for _, member := range asked {
		go func() {
			to := args
			to.To = member.ID
			reply, err := r.transport.Prepare(ctx, member.Name, to)
			answers <- promise{member: member, reply: reply, err: err}
		}()
	}
	var promises []promise
	for range asked {
		promises = append(promises, <-answers)
		if r.isQuorum(voters, promises) {
			break
		}
	}
	return promises
}

func (r *Replica) others(voters []Members) Members {
	var asked Members
	for _, members := range voters {
		for _, member := range members {
			if member.ID != r.store.id && !asked.Has(member.ID) {
				asked = asked.With(member)
			}
		}
	}
	return asked
}

// promiseSelf makes the candidate's own promise durable.
func (r *Replica) promiseSelf(now time.Time, ballot Ballot) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed != nil {
		return false, r.failed
	}
	if !r.promised.Less(ballot) || now.Before(r.heard.Add(r.timing.Lease)) {
		return false, nil
	}
	if err := r.store.write(r.commit, &ballot, nil); err != nil {
		return false, r.fail(err)
	}
	r.promised = ballot
	return true, nil
}

// catchUp fetches a snapshot from a voter whose log starts behind what is asked for.
func (r *Replica) catchUp(promises []promise) bool {
	for _, one := range promises {
		if one.err != nil || !one.reply.NeedsSnapshot {
			continue
		}
		ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), r.timing.Timeout)
		args, err := r.transport.Fetch(ctx, one.member.Name)
		cancel()
		if err != nil {
			return true
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if err := r.install(args); err != nil {
			r.fail(err)
		}
		return true
	}
	return false
}

var errGap = errors.New("adopted entries leave a gap")

// adopt turns a quorum of promises into a leadership: for each position the value of the highest
// ballot is proposed again, and an entry of the leader's own closes the old log.
func (r *Replica) adopt(sent time.Time, ballot Ballot, voters []Members, promises []promise) (*leadership, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed != nil {
		return nil, r.failed
	}
	if r.promised != ballot || !r.isQuorum(voters, promises) {
		return nil, nil
	}
	entries := r.choose(ballot, promises)
	if members := newestMembers(entries); members != nil && !r.isQuorum([]Members{members}, promises) {
		r.hint = members
		return nil, nil
	}
	r.hint = nil
	opened := r.commit + uint64(len(entries)) + 1
	entries = append(entries, Entry{Index: opened, Ballot: ballot, Kind: KindNoop})
	if err := r.store.write(r.commit, nil, entries); err != nil {
		return nil, r.fail(err)
	}
	if err := r.putAll(entries); err != nil {
		return nil, r.fail(errors.Join(errGap, err))
	}
	r.log.cut(opened, ballot)
	r.matched, r.matchedIn = opened, ballot
	r.leader = r.name
	r.lead = newLeadership(sent, ballot, opened)
	for _, one := range promises {
		if one.err == nil && one.reply.OK {
			r.lead.follower(one.member, r.commit+1).ackAt = sent
		}
	}
	return r.lead, nil
}

// choose returns, for each position behind the commit index, the value of the highest ballot.
func (r *Replica) choose(ballot Ballot, promises []promise) []Entry {
	best := make(map[uint64]Entry)
	last := r.commit
	consider := func(entry Entry) {
		if entry.Index <= r.commit {
			return
		}
		last = max(last, entry.Index)
		known, ok := best[entry.Index]
		if !ok || known.Ballot.Less(entry.Ballot) {
			best[entry.Index] = entry
		}
	}
	for _, entry := range r.log.from(r.commit+1, len(r.log.entries)) {
		consider(entry)
	}
	for _, one := range promises {
		for _, entry := range one.reply.Entries {
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

func newestMembers(entries []Entry) Members {
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Kind == KindMembers {
			return entries[i].Members
		}
	}
	return nil
}

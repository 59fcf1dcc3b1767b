package paxos

import "context"

// Transport carries calls to other replicas; an error means that no answer came.
type Transport interface {
	Identify(ctx context.Context, name string) (Identity, error)
	Prepare(ctx context.Context, name string, args PrepareArgs) (PrepareReply, error)
	Accept(ctx context.Context, name string, args AcceptArgs) (AcceptReply, error)
	Install(ctx context.Context, name string, args SnapshotMessage) (AcceptReply, error)
	Fetch(ctx context.Context, name string) (SnapshotMessage, error)
}

// Identity says who answers under a name, and whether it has never held any state.
type Identity struct {
	ID    string `json:"id"`
	Empty bool   `json:"empty"`
}

// PrepareArgs asks for a promise and for what was accepted from an index on.
type PrepareArgs struct {
	To      string `json:"to"` // identity of the addressee
	Ballot  Ballot `json:"ballot"`
	From    uint64 `json:"from"`
	PreVote bool   `json:"trial"` // asks only whether the promise would be given
}

// PrepareReply is a promise, or why there is none.
type PrepareReply struct {
	OK            bool    `json:"ok"`
	Promised      Ballot  `json:"promised"`
	NeedsSnapshot bool    `json:"behind"` // the asker lacks entries that stand only in a snapshot
	Entries       []Entry `json:"entries,omitempty"`
}

// AcceptArgs carries entries of one ballot behind a position, and the commit index.
type AcceptArgs struct {
	To          string  `json:"to"`
	Ballot      Ballot  `json:"ballot"`
	Prev        uint64  `json:"prev"`
	BallotStart uint64  `json:"opened"` // index of the first entry that is the leader's own
	Commit      uint64  `json:"commit"`
	Entries     []Entry `json:"entries,omitempty"`
}

// AcceptReply tells how far the log of the addressee matches the leader's.
type AcceptReply struct {
	OK             bool     `json:"ok"`
	Promised       Ballot   `json:"promised"`
	Match          uint64   `json:"match"`
	Need           uint64   `json:"need,omitempty"`
	ActualIdentity Identity `json:"stranger"` // set when another identity answers under the name
}

// SnapshotMessage carries a whole snapshot.
type SnapshotMessage struct {
	To      string  `json:"to"`
	Ballot  Ballot  `json:"ballot"`
	Index   uint64  `json:"index"`
	Members Members `json:"members"`
	Data    []byte  `json:"data"`
}

package paxos

import "context"

// Transport carries calls to other replicas, which are addressed by name. An error means that there is no reply.
type Transport interface {
	Identify(ctx context.Context, name string) (Identity, error)
	Prepare(ctx context.Context, name string, args PrepareArgs) (PrepareReply, error)
	Accept(ctx context.Context, name string, args AcceptArgs) (AcceptReply, error)
	Install(ctx context.Context, name string, args SnapshotMessage) (AcceptReply, error)
	Fetch(ctx context.Context, name string) (SnapshotMessage, error)
}

// Identity is the identity of the replica that responds under a name.
type Identity struct {
	ID    string `json:"id"`
	Empty bool   `json:"empty"` // whether the replica has never held any state
}

// PrepareArgs requests a promise and the entries that were accepted from index From on.
type PrepareArgs struct {
	To      string `json:"to"` // identity of the recipient
	Ballot  Ballot `json:"ballot"`
	From    uint64 `json:"from"`
	PreVote bool   `json:"trial"` // asks only whether the promise would be given
}

// PrepareReply is a promise or a refusal.
type PrepareReply struct {
	OK            bool    `json:"ok"`
	Promised      Ballot  `json:"promised"`
	NeedsSnapshot bool    `json:"behind"` // the candidate lacks entries that the recipient holds only in a snapshot
	Entries       []Entry `json:"entries,omitempty"`
}

// AcceptArgs carries entries of one ballot that follow index Prev, and the commit index.
type AcceptArgs struct {
	To          string  `json:"to"`
	Ballot      Ballot  `json:"ballot"`
	Prev        uint64  `json:"prev"`
	BallotStart uint64  `json:"opened"` // index of the no-op entry that follows the adopted entries
	Commit      uint64  `json:"commit"`
	Entries     []Entry `json:"entries,omitempty"`
}

// AcceptReply reports how far the recipient's log matches the leader's.
type AcceptReply struct {
	OK             bool     `json:"ok"`
	Promised       Ballot   `json:"promised"`
	Match          uint64   `json:"match"`
	Need           uint64   `json:"need,omitempty"` // if OK is false: index of the next entry to send, 0 for a snapshot
	ActualIdentity Identity `json:"stranger"`       // set if an identity other than the addressed one responds
}

// SnapshotMessage carries a complete snapshot.
type SnapshotMessage struct {
	To      string  `json:"to"`
	Ballot  Ballot  `json:"ballot"`
	Index   uint64  `json:"index"`
	Members Members `json:"members"`
	Data    []byte  `json:"data"`
}

package paxos

import (
	"cmp"
	"fmt"
)

// Ballot orders the attempts to lead; the name breaks ties.
type Ballot struct {
	Round uint64 `json:"round"`
	Name  string `json:"name"`
}

// Compare orders two ballots by round, then by name.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Name, other.Name))
}

// Less reports whether b comes before other.
func (b Ballot) Less(other Ballot) bool {
	return b.Compare(other) < 0
}

// String writes the ballot as round and name.
func (b Ballot) String() string {
	return fmt.Sprintf("%d/%s", b.Round, b.Name)
}

package paxos

import (
	"cmp"
	"fmt"
)

// Ballot numbers one attempt to become leader. Ballots are ordered by round; the candidate's name breaks ties.
type Ballot struct {
	Round uint64 `json:"round"`
	Name  string `json:"name"`
}

// Compare returns -1, 0 or +1, with ballots ordered by round and then by name.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Name, other.Name))
}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	return b.Compare(other) < 0
}

// String returns the ballot as "round/name".
func (b Ballot) String() string {
	return fmt.Sprintf("%d/%s", b.Round, b.Name)
}

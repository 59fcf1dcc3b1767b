package paxos

import "slices"

// Member is a replica that has a vote: its name, and the identity that lives on its disk.
type Member struct {
	Name string `json:"name"`
	ID   string `json:"id"`
}

// Members is the set of replicas that vote.
type Members []Member

// Quorum returns how many of the members make a majority.
func (m Members) Quorum() int {
	return len(m)/2 + 1
}

// Has reports whether the member with this identity votes.
func (m Members) Has(id string) bool {
	return slices.ContainsFunc(m, func(one Member) bool { return one.ID == id })
}

// Without returns the members but the one with this identity.
func (m Members) Without(id string) Members {
	return slices.DeleteFunc(slices.Clone(m), func(one Member) bool { return one.ID == id })
}

// With returns the members and one more.
func (m Members) With(member Member) Members {
	return append(slices.Clone(m), member)
}

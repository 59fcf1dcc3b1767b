package paxos

import "slices"

// Member is a replica that has a vote: its name, and the identity stored on its disk.
type Member struct {
	Name string `json:"name"`
	ID   string `json:"id"`
}

// Members is the set of replicas that vote.
type Members []Member

// Quorum returns the number of members that form a majority.
func (m Members) Quorum() int {
	return len(m)/2 + 1
}

// Has reports whether the replica with this identity is a member.
func (m Members) Has(id string) bool {
	return slices.ContainsFunc(m, func(member Member) bool { return member.ID == id })
}

// Without returns the members except the one with this identity.
func (m Members) Without(id string) Members {
	return slices.DeleteFunc(slices.Clone(m), func(member Member) bool { return member.ID == id })
}

// With returns the members and member.
func (m Members) With(member Member) Members {
	return append(slices.Clone(m), member)
}

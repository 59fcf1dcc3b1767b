// Package paxos is a replicated log: Multi-Paxos with a leader lease, snapshots and membership changes.
//
// A replica's identity is stored on its disk. A replica that restarts with an empty disk has a new
// identity and no vote until the leader has copied the whole log to it. Members change one at a
// time, and only after the leader has committed an entry of its own ballot, so that the quorums of
// two consecutive memberships always intersect. Replicating all values to the new member before a
// quorum changes is step 2 of "Dynamic Plain Paxos" (Rystsov, 2015).
package paxos

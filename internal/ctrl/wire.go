package ctrl

import (
	"time"

	"lovagelink.example/lovagelink/internal/state"
)

// Intervals and timeouts of the control plane, the same on all hosts.
const (
	HostLeaseDuration  = 1200 * time.Millisecond // measured on the clock of the leader; hosts use a shorter duration
	heartbeatInterval  = 200 * time.Millisecond
	callTimeout        = 400 * time.Millisecond
	watchTimeout       = time.Second
	loadReportInterval = 5 * time.Second
	planInterval       = 50 * time.Millisecond

	watchRetryDelay  = 20 * time.Millisecond
	substitutePeriod = 5 * time.Second // how long another source is followed before the first one is tried again
)

// Heartbeat is the heartbeat of an entry host; it renews the host's lease, which covers all roles of the host.
type Heartbeat struct {
	Zone               string            `json:"zone"`
	Incarnation        string            `json:"incarnation"`
	AppliedIndex       uint64            `json:"index"`
	Announced          []state.Announced `json:"announced,omitempty"`
	ReachableUpstreams []string          `json:"reached,omitempty"`  // upstreams that have acknowledged a grant recently
	DrainingUpstreams  []string          `json:"draining,omitempty"` // upstreams that have asked to be drained
	DrainedUpstreams   []string          `json:"idle,omitempty"`     // draining upstreams without slots or requests
	Loads              []SlotLoads       `json:"loads,omitempty"`
	Leaving            bool              `json:"leaving,omitempty"` // the host is stopping and must not be assigned roles
}

// SlotLoads counts the requests to the slots of an upstream since the last report. Two lists of numbers take a quarter
// of the bytes of a list of objects with named fields.
type SlotLoads struct {
	Service  string        `json:"service"`
	Upstream string        `json:"upstream"`
	Latency  time.Duration `json:"took,omitempty"` // latency of the upstream's requests, 0 if unknown
	Slots    []int         `json:"slots"`
	Counts   []int         `json:"counts"` // in the order of Slots
}

// Add appends a slot and its request count.
func (s *SlotLoads) Add(slot, count int) {
	s.Slots = append(s.Slots, slot)
	s.Counts = append(s.Counts, count)
}

// HeartbeatReply grants or refuses the lease, and names the leader.
type HeartbeatReply struct {
	LeaseGranted bool   `json:"granted"`
	Leader       string `json:"leader,omitempty"`
	Index        uint64 `json:"index"`
}

// Proposal is a command to propose to the log.
type Proposal struct {
	Command state.Command `json:"command"`
}

// ProposalReply holds the log index of a chosen command and its result; OK is false if the replica isn't the leader.
type ProposalReply struct {
	OK     bool   `json:"ok"`
	Leader string `json:"leader,omitempty"`
	Index  uint64 `json:"index"`
	Result []byte `json:"answer,omitempty"`
}

// LostReport reports that an upstream does not respond and that all its grants have expired.
type LostReport struct {
	Upstream string `json:"upstream"`
	Epoch    uint64 `json:"epoch"`
}

// ReleasedSlot reports that a slot has no requests in flight and no unexpired grant.
type ReleasedSlot struct {
	Service string `json:"service"`
	Slot    int    `json:"slot"`
	Epoch   uint64 `json:"epoch"`
}

// WatchArgs requests the entries after an index.
type WatchArgs struct {
	Index uint64 `json:"index"`
}

// Progress lists the index that each host has applied; Hosts is nil in the reply of a replica that isn't the leader.
type Progress struct {
	Leader string            `json:"leader"`
	Hosts  map[string]uint64 `json:"hosts"`
}

package ctrl

import (
	"time"

	"lovagelink.example/lovagelink/internal/state"
)

// Periods that all hosts share.
const (
	HostLeaseDuration = 1200 * time.Millisecond // from the leader's clock
	beatPeriod        = 200 * time.Millisecond
	callTimeout       = 400 * time.Millisecond
	watchTimeout      = time.Second
	loadPeriod        = 5 * time.Second
	stepPeriod        = 50 * time.Millisecond

	watchPause       = 20 * time.Millisecond
	substitutePeriod = 5 * time.Second // after which the preferred source is tried again
)

// Heartbeat is an entry host's heartbeat; one heartbeat renews the lease for all that the host holds.
type Heartbeat struct {
	Zone               string            `json:"zone"`
	Incarnation        string            `json:"incarnation"`
	AppliedIndex       uint64            `json:"index"`
	Announced          []state.Announced `json:"announced,omitempty"`
	ReachableUpstreams []string          `json:"reached,omitempty"`  // upstreams that confirmed a grant lately
	DrainingUpstreams  []string          `json:"draining,omitempty"` // upstreams that say they are leaving
	DrainedUpstreams   []string          `json:"idle,omitempty"`     // draining upstreams without work
	Loads              []SlotLoads       `json:"loads,omitempty"`
	Leaving            bool              `json:"leaving,omitempty"` // the host is stopping and wants no roles
}

// SlotLoads is how many requests some slots of a service have had since the last report. Two lists of numbers
// take a quarter of the bytes of a list of pairs by name.
type SlotLoads struct {
	Service  string        `json:"service"`
	Upstream string        `json:"upstream"`
	Latency  time.Duration `json:"took,omitempty"` // how long the upstream takes for a request, 0 if not known
	Slots    []int         `json:"slots"`
	Counts   []int         `json:"counts"` // by the position of the slot in Slots
}

// Add appends the count of a slot.
func (s *SlotLoads) Add(slot, count int) {
	s.Slots = append(s.Slots, slot)
	s.Counts = append(s.Counts, count)
}

// HeartbeatReply grants the lease, or names the host that may do so.
type HeartbeatReply struct {
	LeaseGranted bool   `json:"granted"`
	Leader       string `json:"leader,omitempty"`
	Index        uint64 `json:"index"`
}

// Proposal is a command for the log.
type Proposal struct {
	Command state.Command `json:"command"`
}

// ProposalReply is the log position of a command and its answer.
type ProposalReply struct {
	OK     bool   `json:"ok"`
	Leader string `json:"leader,omitempty"`
	Index  uint64 `json:"index"`
	Answer []byte `json:"answer,omitempty"`
}

// LostReport says that an upstream is silent and that all its grants have ended.
type LostReport struct {
	Upstream string `json:"upstream"`
	Epoch    uint64 `json:"epoch"`
}

// ReleasedSlot says that a slot has no work under way and no grant in force.
type ReleasedSlot struct {
	Service string `json:"service"`
	Slot    int    `json:"slot"`
	Epoch   uint64 `json:"epoch"`
}

// WatchArgs asks for what follows an index.
type WatchArgs struct {
	Index uint64 `json:"index"`
}

// Progress tells which index each host has reached.
type Progress struct {
	Leader string            `json:"leader"`
	Hosts  map[string]uint64 `json:"hosts"`
}

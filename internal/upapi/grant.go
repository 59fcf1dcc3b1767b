package upapi

import (
	"encoding/json"
	"hash/fnv"
	"time"
)

// Paths of the protocol.
const (
	AnnouncePath = "/lovagelink/announce" // POST to an entry host
	GrantPath    = "/lovagelink/grant"    // PUT to an upstream
)

// Headers of a request to an upstream, and of the response.
const (
	HeaderRequestID       = "Request-Id"
	HeaderService         = "Lovagelink-Service"
	HeaderKey             = "Lovagelink-Key"
	HeaderSlot            = "Lovagelink-Slot"
	HeaderEpoch           = "Lovagelink-Epoch" // fencing epoch of the slot
	HeaderDispatcherEpoch = "Lovagelink-Dispatch"
	HeaderRunBefore       = "Lovagelink-Run-Before" // latest start of the work by the upstream's clock, in nanoseconds
	HeaderDeadline        = "Lovagelink-Deadline"   // time left to the deadline, in milliseconds
	HeaderVerdict         = "Lovagelink-Verdict"
	HeaderNonIdempotent   = "Lovagelink-Exclusive" // set for non-idempotent work
)

// Grant tells an upstream which slots it owns; a grant of a dispatcher with a lower epoch is refused.
type Grant struct {
	DispatcherEpoch uint64        `json:"dispatch"`
	Host            string        `json:"host"`
	Expiry          time.Duration `json:"until"` // by the upstream's clock; 0 grants nothing and queries that clock
	Digest          uint64        `json:"digest"`
	Slots           []SlotGrant   `json:"slots,omitzero"` // nil if the upstream should hold those of the digest already
}

// SlotGrant is a granted slot with its fencing epoch.
type SlotGrant struct {
	Slot  int    `json:"slot"`
	Epoch uint64 `json:"epoch"`
}

// GrantReply reports whether the upstream accepted the grant, and its clock.
type GrantReply struct {
	Accepted        bool          `json:"accepted"`
	NeedSlots       bool          `json:"need-slots,omitempty"`
	DispatcherEpoch uint64        `json:"dispatch"` // highest dispatcher epoch that the upstream has received
	Incarnation     string        `json:"incarnation"`
	Clock           time.Duration `json:"clock"`
	Draining        bool          `json:"draining,omitempty"`
}

// Digest returns a hash that identifies a list of granted slots.
func Digest(slots []SlotGrant) uint64 {
	data, _ := json.Marshal(slots)
	hash := fnv.New64a()
	hash.Write(data)
	return hash.Sum64()
}

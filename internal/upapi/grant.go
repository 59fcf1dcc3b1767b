package upapi

import (
	"encoding/json"
	"hash/fnv"
	"time"
)

// Paths of the protocol.
const (
	AnnouncePath = "/lovagelink/announce" // at an entry host, POST
	GrantPath    = "/lovagelink/grant"    // at an upstream, PUT
)

// Headers of a request to an upstream, and of its answer.
const (
	HeaderRequestID       = "Request-Id"
	HeaderService         = "Lovagelink-Service"
	HeaderKey             = "Lovagelink-Key"
	HeaderSlot            = "Lovagelink-Slot"
	HeaderEpoch           = "Lovagelink-Epoch"      // of the slot
	HeaderDispatcherEpoch = "Lovagelink-Dispatch"   // epoch of the dispatcher
	HeaderRunBefore       = "Lovagelink-Run-Before" // by the upstream's clock, ns
	HeaderDeadline        = "Lovagelink-Deadline"   // time left, ms
	HeaderVerdict         = "Lovagelink-Verdict"
	HeaderNonIdempotent   = "Lovagelink-Exclusive" // set on work that must not repeat
)

// Grant tells an upstream which slots it owns. A dispatcher of a lower epoch is refused.
type Grant struct {
	DispatcherEpoch uint64        `json:"dispatch"` // epoch of the dispatcher
	Host            string        `json:"host"`
	Expiry          time.Duration `json:"until"` // by the upstream's clock; 0 only asks for the clock
	Digest          uint64        `json:"digest"`
	Slots           []SlotGrant   `json:"slots,omitzero"` // nil when the digest is enough
}

// SlotGrant is one slot with its epoch.
type SlotGrant struct {
	Slot  int    `json:"slot"`
	Epoch uint64 `json:"epoch"`
}

// GrantReply tells the upstream's clock and whether the grant is in force.
type GrantReply struct {
	Accepted        bool          `json:"accepted"`
	NeedSlots       bool          `json:"need-slots,omitempty"`
	DispatcherEpoch uint64        `json:"dispatch"` // the highest epoch seen
	Incarnation     string        `json:"incarnation"`
	Clock           time.Duration `json:"clock"`
	Draining        bool          `json:"draining,omitempty"`
}

// Digest identifies a set of granted slots.
func Digest(slots []SlotGrant) uint64 {
	data, _ := json.Marshal(slots)
	hash := fnv.New64a()
	hash.Write(data)
	return hash.Sum64()
}

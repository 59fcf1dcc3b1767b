package realm

import (
	"net/netip"
)

//go:generate go tool stringer -type Phase -linecomment

// Phase is a stage in the life of an upstream.
type Phase int

// The phases.
const (
	Ready    Phase = iota // ready
	Draining              // draining
	Lost                  // lost: it has been silent for a while
	Gone                  // gone: it has said so, or a later life has taken its place
)

// Instance tells one start of an upstream from another under the same id.
type Instance struct {
	ID          string `json:"id"`
	StartMillis int64  `json:"born"` // Unix milliseconds of its start, 0 if it does not say
}

// Upstream is what is known of one life of an upstream.
type Upstream struct {
	Instance
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Zone        string         `json:"zone"`
	Concurrency int            `json:"slots"`
	Phase       Phase          `json:"phase"`
	Ended       bool           `json:"ended,omitempty"` // its process is known to have ended
	Changed     uint64         `json:"changed"`         // position of the log at which this last changed
}

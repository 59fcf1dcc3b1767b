package realm

import (
	"net/netip"
	"time"
)

//go:generate go tool stringer -type Phase -linecomment

// Phase is the lifecycle phase of an upstream instance.
type Phase int

// The phases of an upstream instance.
const (
	Ready    Phase = iota // ready
	Draining              // draining
	Lost                  // lost: it has been silent for a while
	Gone                  // gone: it has said so, or a later life has taken its place
)

// Instance identifies one run of an upstream process: another run under the same id has another start time.
type Instance struct {
	ID          string `json:"id"`
	StartMillis int64  `json:"born"` // start time in Unix milliseconds, 0 if the upstream does not report it
}

// Upstream is the replicated state of one upstream instance.
type Upstream struct {
	Instance
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Zone        string         `json:"zone"`
	Concurrency int            `json:"slots"`
	WarmFor     time.Duration  `json:"warm-for,omitempty"` // how long it remained slow after its start when it joined
	Phase       Phase          `json:"phase"`
	Limit       float64        `json:"limit,omitempty"` // requests per second that it takes from all hosts together, 0 if it names no limit
	Ended       bool           `json:"ended,omitempty"` // another instance has its address, so its process has ended
	Changed     uint64         `json:"changed"`         // log index of the last change
}

// MaxConcurrency is the largest concurrency of an upstream that counts.
const MaxConcurrency = 10_000

// Slots returns the concurrency of the upstream within 1 and MaxConcurrency. The log may hold any number from earlier
// releases, and one upstream with a very large one would be given all keys.
func (u Upstream) Slots() int { return min(max(u.Concurrency, 1), MaxConcurrency) }

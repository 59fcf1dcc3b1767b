package realm

import "lovagelink.example/lovagelink/internal/route"

// Command is a change of the state; what its fields hold is carried out in the order in which Apply has them.
type Command struct {
	Accept *Accept    `json:"accept,omitempty"`
	Join   []Upstream `json:"join,omitempty"`
	Enter  []Entering `json:"enter,omitempty"`
	Assign []Assign   `json:"assign,omitempty"`
	Take   []Taken    `json:"take,omitempty"`
	Forget []Life     `json:"forget,omitempty"`
	Fence  []Life     `json:"fence,omitempty"` // owners whose keys get a new fence
}

// Accept puts a configuration in force unless one of the same or a higher version is.
type Accept struct {
	Config route.Config `json:"config"`
	Body   []byte       `json:"body"` // as the operator sent it
}

// Entering moves a life of an upstream to a phase.
type Entering struct {
	Life
	Phase Phase `json:"phase"`
}

// Assign names the owner of keys. It changes nothing unless all the keys have the fence Was at present, or no owner
// where Was is 0, so that one that was decided on by an older state is without effect.
type Assign struct {
	Service  string `json:"service"`
	Keys     Keys   `json:"keys"`
	Owner    Life   `json:"owner"`
	Was      uint64 `json:"was"`
	Handover string `json:"handover,omitempty"`
}

// Taken says whether the owner of keys has them; requests wait for keys that it does not have yet, or is giving up.
type Taken struct {
	Service string `json:"service"`
	Keys    Keys   `json:"keys"`
	Fence   uint64 `json:"fence"`
	Active  bool   `json:"active"`
}

// Answer tells what a command did.
type Answer struct {
	Version uint64 `json:"version,omitempty"` // of the configuration in force
}

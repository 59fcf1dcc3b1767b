package realm

import "lovagelink.example/lovagelink/internal/route"

// Command is a change of the state; what its fields hold is carried out in the order in which Apply has them.
type Command struct {
	AcceptConfig *AcceptConfig  `json:"accept,omitempty"`
	Join         []Upstream     `json:"join,omitempty"`
	SetPhase     []PhaseChange  `json:"enter,omitempty"`
	Assignments  []Assignment   `json:"assign,omitempty"`
	SetActive    []ActiveChange `json:"take,omitempty"`
	Forget       []Instance     `json:"forget,omitempty"`
	RenewTokens  []Instance     `json:"fence,omitempty"` // owners whose keys get a new fence
}

// AcceptConfig puts a configuration in force unless one of the same or a higher version is.
type AcceptConfig struct {
	Config route.Config `json:"config"`
	Body   []byte       `json:"body"` // as the operator sent it
}

// PhaseChange moves a life of an upstream to a phase.
type PhaseChange struct {
	Instance
	Phase Phase `json:"phase"`
}

// Assignment names the owner of keys. It changes nothing unless all the keys have the fence ExpectedToken at present, or no owner
// where ExpectedToken is 0, so that one that was decided on by an older state is without effect.
type Assignment struct {
	Service       string   `json:"service"`
	Keys          KeyRange `json:"keys"`
	Owner         Instance `json:"owner"`
	ExpectedToken uint64   `json:"was"`
	Handover      string   `json:"handover,omitempty"`
}

// ActiveChange says whether the owner of keys has them; requests wait for keys that it does not have yet, or is giving up.
type ActiveChange struct {
	Service      string   `json:"service"`
	Keys         KeyRange `json:"keys"`
	FencingToken uint64   `json:"fence"`
	Active       bool     `json:"active"`
}

// Answer tells what a command did.
type Answer struct {
	Version uint64 `json:"version,omitempty"` // of the configuration in force
}

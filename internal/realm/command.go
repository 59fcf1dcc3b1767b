package realm

import "lovagelink.example/lovagelink/internal/route"

// Command is a change of the state. Apply applies its fields one after another.
type Command struct {
	AcceptConfig *AcceptConfig  `json:"accept,omitempty"`
	AcceptPacked []byte         `json:"accept-packed,omitempty"` // AcceptConfig, compressed
	KeepOwners   bool           `json:"keep-owners,omitempty"`   // services that the configuration no longer divides by key keep their owners until a Withdrawal; sets State.KeepsOwners
	Join         []Upstream     `json:"join,omitempty"`
	SetPhase     []PhaseChange  `json:"enter,omitempty"`
	SetLimits    []LimitChange  `json:"limits,omitempty"`
	Assignments  []Assignment   `json:"assign,omitempty"`
	SetActive    []ActiveChange `json:"take,omitempty"`
	Forget       []Instance     `json:"forget,omitempty"`
	RenewTokens  []Instance     `json:"fence,omitempty"` // owners whose keys get a new fencing token
	Withdrawals  []Withdrawal   `json:"withdraw,omitempty"`
}

// AcceptConfig puts a configuration in force, unless the one in force has the same or a higher version.
type AcceptConfig struct {
	Config route.Config `json:"config"`
	Body   []byte       `json:"body"` // as the operator sent it
}

// PhaseChange changes the phase of an upstream instance.
type PhaseChange struct {
	Instance
	Phase Phase `json:"phase"`
}

// LimitChange changes the limit that an upstream instance has named, in requests per second, 0 if it names none any more.
type LimitChange struct {
	Instance
	Limit float64 `json:"limit"`
}

// Assignment assigns keys to an owner. It has no effect unless the current fencing token of all the keys is
// ExpectedToken, or, where ExpectedToken is 0, none of the keys has an owner: a decision that is based on an outdated
// state is ignored.
type Assignment struct {
	Service       string   `json:"service"`
	Keys          KeyRange `json:"keys"`
	Owner         Instance `json:"owner"`
	ExpectedToken uint64   `json:"was"`
	Handover      string   `json:"handover,omitempty"`
}

// ActiveChange marks keys as active, once their owner has acknowledged the grant, or as inactive, while their owner
// releases them. Requests for inactive keys wait.
type ActiveChange struct {
	Service      string   `json:"service"`
	Keys         KeyRange `json:"keys"`
	FencingToken uint64   `json:"fence"`
	Active       bool     `json:"active"`
}

// Withdrawal ends the ownership of a service that is no longer divided by key, once all its grants have expired. It has no
// effect if another configuration has come into force since.
type Withdrawal struct {
	Service     string `json:"service"`
	ConfigIndex uint64 `json:"accepted"` // log index of the configuration that does not divide the service by key
}

// Result is the result of a command.
type Result struct {
	Version uint64 `json:"version,omitempty"` // of the configuration in force
}

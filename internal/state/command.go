package state

import "net/netip"

// Command is one change of the state; exactly one field is set.
type Command struct {
	AcceptConfig          *AcceptConfig          `json:"accept,omitempty"`
	HostStatus            *HostStatus            `json:"host,omitempty"`
	Join                  *Join                  `json:"join,omitempty"`
	DispatcherAssignments []DispatcherAssignment `json:"dispatch,omitempty"`
	MarkLost              *MarkLost              `json:"lose,omitempty"`
	Drain                 *Drain                 `json:"drain,omitempty"`
	Leave                 *Leave                 `json:"leave,omitempty"`
	SlotMoves             []SlotMove             `json:"move,omitempty"`
	SlotAssignments       []SlotAssignment       `json:"assign,omitempty"`
}

// AcceptConfig accepts a configuration if the current version is still the expected version.
type AcceptConfig struct {
	RequestID       string `json:"request-id"`
	ExpectedVersion uint64 `json:"expected"`
	ConfigText      string `json:"body"`
}

// AcceptResult is the result of AcceptConfig; Refused is the reason if the configuration was not accepted.
type AcceptResult struct {
	ConfigVersion uint64 `json:"version"`
	Index         uint64 `json:"index"`
	Refused       string `json:"refused,omitempty"`
}

// HostStatus marks a host as up or down; an incarnation identifies one run of the host's process.
type HostStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Up          bool   `json:"up"`
}

// Join adds an upstream that has announced itself, or returns a lost upstream to service.
type Join struct {
	Upstream Announced `json:"upstream"`
}

// Announced is the announcement that an upstream sends about itself.
type Announced struct {
	ID             string         `json:"id"`
	Incarnation    string         `json:"incarnation"`
	Service        string         `json:"service"`
	Zone           string         `json:"zone"`
	Address        netip.AddrPort `json:"address"`
	Concurrency    int            `json:"slots"`
	Connections    int            `json:"connections"`
	VerifiesGrants bool           `json:"checks"` // refuses requests without a valid grant
}

// DispatcherAssignment assigns a dispatcher to an upstream.
type DispatcherAssignment struct {
	Upstream      string `json:"upstream"`
	ExpectedEpoch uint64 `json:"epoch"` // the upstream's epoch before the change
	Host          string `json:"host"`
	Incarnation   string `json:"incarnation"`
}

// MarkLost marks an upstream as lost: it does not respond, and all its grants have expired.
type MarkLost struct {
	Upstream        string           `json:"upstream"`
	ExpectedEpoch   uint64           `json:"epoch"`
	SlotAssignments []SlotAssignment `json:"assign,omitempty"`
}

// Drain marks an upstream as draining.
type Drain struct {
	Upstream string `json:"upstream"`
}

// Leave removes an upstream that owns no slots.
type Leave struct {
	Upstream string `json:"upstream"`
}

// SlotMove requests that the dispatcher of a slot's owner release the slot for its next owner.
type SlotMove struct {
	Service       string `json:"service"`
	Slot          int    `json:"slot"`
	ExpectedEpoch uint64 `json:"epoch"`
	To            string `json:"to"`
}

// SlotAssignment assigns a slot that is not served any more to an owner.
type SlotAssignment struct {
	Service       string `json:"service"`
	Slot          int    `json:"slot"`
	ExpectedEpoch uint64 `json:"epoch"` // the slot's epoch before the change
	Owner         string `json:"owner"`
}

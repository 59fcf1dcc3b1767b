package state

import "net/netip"

// Command is one change; exactly one field is set.
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

// AcceptConfig makes a configuration the accepted one if the version is still the expected one.
type AcceptConfig struct {
	RequestID       string `json:"request-id"`
	ExpectedVersion uint64 `json:"expected"`
	ConfigText      string `json:"body"`
}

// AcceptResult is the answer to AcceptConfig; Refused says why nothing changed.
type AcceptResult struct {
	ConfigVersion uint64 `json:"version"`
	Index         uint64 `json:"index"`
	Refused       string `json:"refused,omitempty"`
}

// HostStatus records that a host is up or down; an incarnation is one life of its process.
type HostStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Up          bool   `json:"up"`
}

// Join adds an upstream that has announced itself, or brings back one that was lost.
type Join struct {
	Upstream Announced `json:"upstream"`
}

// Announced is what an upstream says of itself.
type Announced struct {
	ID             string         `json:"id"`
	Incarnation    string         `json:"incarnation"`
	Service        string         `json:"service"`
	Zone           string         `json:"zone"`
	Address        netip.AddrPort `json:"address"`
	Concurrency    int            `json:"slots"`
	Connections    int            `json:"connections"`
	VerifiesGrants bool           `json:"checks"` // refuses orders without a valid grant
}

// DispatcherAssignment gives an upstream to a dispatcher.
type DispatcherAssignment struct {
	Upstream      string `json:"upstream"`
	ExpectedEpoch uint64 `json:"epoch"` // the epoch that ends
	Host          string `json:"host"`
	Incarnation   string `json:"incarnation"`
}

// MarkLost records that an upstream is silent and that nothing granted to it is in force any more.
type MarkLost struct {
	Upstream        string           `json:"upstream"`
	ExpectedEpoch   uint64           `json:"epoch"`
	SlotAssignments []SlotAssignment `json:"assign,omitempty"`
}

// Drain records that an upstream is leaving.
type Drain struct {
	Upstream string `json:"upstream"`
}

// Leave removes an upstream that owns no slots.
type Leave struct {
	Upstream string `json:"upstream"`
}

// SlotMove asks the dispatcher of a slot to hand it over.
type SlotMove struct {
	Service       string `json:"service"`
	Slot          int    `json:"slot"`
	ExpectedEpoch uint64 `json:"epoch"`
	To            string `json:"to"`
}

// SlotAssignment gives a slot that nobody serves any more to an owner.
type SlotAssignment struct {
	Service       string `json:"service"`
	Slot          int    `json:"slot"`
	ExpectedEpoch uint64 `json:"epoch"` // the epoch that ends
	Owner         string `json:"owner"`
}

package state

import "net/netip"

// Command is one change; exactly one field is set.
type Command struct {
	Accept   *Accept    `json:"accept,omitempty"`
	Host     *HostMark  `json:"host,omitempty"`
	Join     *Join      `json:"join,omitempty"`
	Dispatch []Dispatch `json:"dispatch,omitempty"`
	Lose     *Lose      `json:"lose,omitempty"`
	Drain    *Drain     `json:"drain,omitempty"`
	Leave    *Leave     `json:"leave,omitempty"`
	Move     []Move     `json:"move,omitempty"`
	Assign   []Assign   `json:"assign,omitempty"`
}

// Accept makes a configuration the accepted one if the version is still the expected one.
type Accept struct {
	RequestID string `json:"request-id"`
	Expected  uint64 `json:"expected"`
	Body      string `json:"body"`
}

// Accepted is the answer to Accept; Refused says why nothing changed.
type Accepted struct {
	Version uint64 `json:"version"`
	Index   uint64 `json:"index"`
	Refused string `json:"refused,omitempty"`
}

// HostMark records that a host is up or down; an incarnation is one life of its process.
type HostMark struct {
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
	ID          string         `json:"id"`
	Incarnation string         `json:"incarnation"`
	Service     string         `json:"service"`
	Zone        string         `json:"zone"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Checks      bool           `json:"checks"` // refuses orders without a valid grant
}

// Dispatch gives an upstream to a dispatcher.
type Dispatch struct {
	Upstream    string `json:"upstream"`
	Epoch       uint64 `json:"epoch"` // the epoch that ends
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// Lose records that an upstream is silent and that nothing granted to it is in force any more.
type Lose struct {
	Upstream string   `json:"upstream"`
	Epoch    uint64   `json:"epoch"`
	Assign   []Assign `json:"assign,omitempty"`
}

// Drain records that an upstream is leaving.
type Drain struct {
	Upstream string `json:"upstream"`
}

// Leave removes an upstream that owns no slots.
type Leave struct {
	Upstream string `json:"upstream"`
}

// Move asks the dispatcher of a slot to hand it over.
type Move struct {
	Service string `json:"service"`
	Slot    int    `json:"slot"`
	Epoch   uint64 `json:"epoch"`
	To      string `json:"to"`
}

// Assign gives a slot that nobody serves any more to an owner.
type Assign struct {
	Service string `json:"service"`
	Slot    int    `json:"slot"`
	Epoch   uint64 `json:"epoch"` // the epoch that ends
	Owner   string `json:"owner"`
}

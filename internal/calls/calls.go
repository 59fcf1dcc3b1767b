package calls

import (
	"errors"
	"net/netip"
	"time"
)

// Errors of orders to upstreams: two that were answered, and two that were not sent.
var (
	ErrStaleToken   = errors.New("the upstream has seen a higher fence for these keys")
	ErrOrderRefused = errors.New("the upstream refused the order")
	ErrUnreached    = errors.New("the upstream can't be reached; the order was not sent")
	ErrNotLinked    = errors.New("no connection to the upstream is open; the order was not sent")
)

// Target is the upstream that an order is meant for. Another process may have its address by now, and refuses the order.
type Target struct {
	ID      string
	Address netip.AddrPort
}

// Grant is the order to take keys for a time that counts from the arrival of the call; sent once more it renews the grant.
type Grant struct {
	From, To     uint16 // both included
	FencingToken uint64
	TTL          time.Duration
	Handover     string // what the last owner said when it released the keys
	ReuseOnly    bool   // to be sent only on a connection that is open already
}

// Load is what an upstream says of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// RequestInfo are what a caller says about a request.
type RequestInfo struct {
	ID      string
	Left    time.Duration // how long the caller still waits
	HasLeft bool
	Key     uint16 // of the request, where its service is divided by key
	HasKey  bool
}

// ResponseInfo is what an answer of an upstream says of the request.
type ResponseInfo struct {
	MatchesID     bool // it bears the id of the request
	IsMismatched  bool // it bears the id of another one
	IsSigned      bool // it bears the upstream's mark
	IsNotRun      bool // the upstream has not run the request
	WrongUpstream bool // another upstream than the one that was meant has answered
	Load          Load
	HasLoad       bool
}

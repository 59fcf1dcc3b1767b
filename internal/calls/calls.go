package calls

import (
	"errors"
	"net/netip"
	"time"
)

// Errors of commands to upstreams, such as grants and releases. The upstream has responded with the first two; the
// command was not sent with the last two.
var (
	ErrStaleToken     = errors.New("upstream has seen a higher fencing token for these keys")
	ErrCommandRefused = errors.New("upstream refused the command")
	ErrUnreachable    = errors.New("upstream unreachable; command not sent")
	ErrNotConnected   = errors.New("no open connection to the upstream; command not sent")
)

// Target is the upstream that a command is meant for. If another upstream has taken over the address, it refuses the
// command.
type Target struct {
	ID      string
	Address netip.AddrPort
}

// Grant is the command to serve a range of keys until the TTL expires, which counts from the arrival of the call.
// Sending it again renews the grant.
type Grant struct {
	From, To     uint16 // inclusive
	FencingToken uint64
	TTL          time.Duration
	Handover     string // handover data that the previous owner returned when it released the keys
	ReuseOnly    bool   // send only on a connection that is already open
}

// Load is the load that an upstream reports in a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// RequestInfo is the information about a request in the caller's headers.
type RequestInfo struct {
	ID      string
	Left    time.Duration // how much longer the caller waits
	HasLeft bool
	Key     uint16 // key of the request, if its service is keyed
	HasKey  bool
}

// ResponseInfo is the information about the request in the headers of an upstream's response.
type ResponseInfo struct {
	MatchesID     bool          // the response carries the id of the request
	IsMismatched  bool          // the response carries the id of another request
	IsSigned      bool          // the response carries a signature of the upstream
	IsNotRun      bool          // the upstream has not run the request
	WrongUpstream bool          // an upstream other than the intended one has responded
	IsLeaving     bool          // the upstream is about to end
	Pause         time.Duration // how long the upstream wants no requests from this host, 0 if it has not said so
	Limit         float64       // requests per second that the upstream takes from all hosts together
	HasLimit      bool          // whether the upstream names a limit
	Unreadable    string        // a header with a value that can't be read and is ignored, with that value
	Load          Load
	HasLoad       bool
}

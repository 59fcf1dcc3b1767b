package disp

import (
	"net/http"
	"time"

	"lovagelink.example/lovagelink/pkg/verd"
)

// Request is a caller's request on its way from the entry host to a dispatcher.
type Request struct {
	Service      string        `json:"service"`
	Key          string        `json:"key"`
	Slot         int           `json:"slot"`
	Upstream     string        `json:"upstream"`
	ID           string        `json:"id"`
	Token        string        `json:"token"`             // of this attempt
	NotRunTokens []string      `json:"cleared,omitempty"` // tokens of attempts that have not run for sure
	Origin       string        `json:"origin"`            // the entry host
	Method       string        `json:"method"`
	Path         string        `json:"path"`
	Header       http.Header   `json:"header"`
	Body         []byte        `json:"body,omitempty"`
	Fingerprint  uint64        `json:"print"` // fingerprint of method, path and body
	Rank         int           `json:"rank"`
	Wait         time.Duration `json:"wait"` // longest useful wait in an overload
	Idempotent   bool          `json:"idempotent"`
	Left         time.Duration `json:"left"`                // time until the deadline
	OverdueRetry bool          `json:"patient"`             // an earlier attempt was given up since its answer was overdue
	MaybeSent    bool          `json:"started"`             // an earlier attempt may have been sent
	AnyUpstream  bool          `json:"free,omitempty"`      // runs on any upstream of its service, whoever owns the slot
	Offloaded    bool          `json:"offloaded,omitempty"` // free, and another dispatcher keeps its record
	Age          time.Duration `json:"age"`                 // since the caller sent the request for the first time
}

// isRepeat reports whether an earlier attempt of the request may have run: one that the caller has
// sent before, or one of this entry host whose outcome was lost.
func (r Request) isRepeat() bool {
	return r.MaybeSent || r.Age > 0
}

// Outcome is what became of a request.
type Outcome struct {
	Verdict    verd.Verdict  `json:"verdict"`
	Status     int           `json:"status"`
	Header     http.Header   `json:"header,omitempty"`
	Body       []byte        `json:"body,omitempty"`
	Reason     string        `json:"reason,omitempty"`
	Retry      bool          `json:"retry,omitempty"` // another attempt may go better
	RetryAfter time.Duration `json:"retry-after,omitempty"`
	Replayed   bool          `json:"repeated,omitempty"` // the outcome of an earlier request of this id
}

// notRun is an outcome that leaves the request free to be tried again.
func notRun(reason string) Outcome {
	return Outcome{Verdict: verd.NotRun, Status: http.StatusServiceUnavailable, Reason: reason, Retry: true}
}

// refused is an outcome that no further attempt would improve.
func refused(status int, reason string, after time.Duration) Outcome {
	return Outcome{Verdict: verd.NotRun, Status: status, Reason: reason, RetryAfter: after}
}

// unknown is the outcome of a request that may have run.
func unknown(reason string) Outcome {
	return Outcome{Verdict: verd.MayHaveRun, Status: http.StatusBadGateway, Reason: reason}
}

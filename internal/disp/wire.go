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
	Token        string        `json:"token"`             // token of this attempt
	NotRunTokens []string      `json:"cleared,omitempty"` // tokens of attempts that are certain not to have run
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
	OverdueRetry bool          `json:"patient"`             // an earlier attempt was cancelled as overdue
	MaybeSent    bool          `json:"started"`             // an earlier attempt may have been sent
	AnyUpstream  bool          `json:"free,omitempty"`      // any upstream of its service may run it, not only the owner
	Offloaded    bool          `json:"offloaded,omitempty"` // offloaded by another dispatcher, which keeps its entry
	Age          time.Duration `json:"age"`                 // time since the caller first sent the request
}

// isRepeat reports whether an earlier attempt of the request may have run: the caller has sent the request before, or
// the entry host has lost the outcome of an attempt.
func (r Request) isRepeat() bool {
	return r.MaybeSent || r.Age > 0
}

// Outcome is the result of a request.
type Outcome struct {
	Verdict    verd.Verdict  `json:"verdict"`
	Status     int           `json:"status"`
	Header     http.Header   `json:"header,omitempty"`
	Body       []byte        `json:"body,omitempty"`
	Reason     string        `json:"reason,omitempty"`
	Retry      bool          `json:"retry,omitempty"` // another attempt may succeed
	RetryAfter time.Duration `json:"retry-after,omitempty"`
	Replayed   bool          `json:"repeated,omitempty"` // replayed from an earlier request with the same id
}

// notRun returns the outcome of a request that has not run and may be retried.
func notRun(reason string) Outcome {
	return Outcome{Verdict: verd.NotRun, Status: http.StatusServiceUnavailable, Reason: reason, Retry: true}
}

// refused returns the outcome of a request that has not run and that a retry by the entry host would not help.
func refused(status int, reason string, retryAfter time.Duration) Outcome {
	return Outcome{Verdict: verd.NotRun, Status: status, Reason: reason, RetryAfter: retryAfter}
}

// unknown returns the outcome of a request that may have run.
func unknown(reason string) Outcome {
	return Outcome{Verdict: verd.MayHaveRun, Status: http.StatusBadGateway, Reason: reason}
}

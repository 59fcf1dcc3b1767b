package entry

import (
	"context"
	"net/http"
	"time"

	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/peer"
)

// earlyCheckMinBytes is the body length from which on the dispatcher's admission check is made before the body is
// read.
const earlyCheckMinBytes = 64 << 10

// earlyCheckTimeout bounds the remote admission check; if it times out, the body is read.
const earlyCheckTimeout = 100 * time.Millisecond

// earlyReply is the result of an admission check: whether a dispatcher would refuse a request, and with which
// outcome.
type earlyReply struct {
	Refused bool         `json:"refused"`
	Outcome disp.Outcome `json:"outcome"`
}

// refusedEarly reports whether a request with a long body would be refused, so that the body need not be read. It
// makes no check for a request that the caller may have sent before, since the deduplication table may hold its
// outcome.
func (h *Host) refusedEarly(now time.Time, request *http.Request, p *parsedRequest) (disp.Outcome, bool) {
	isShort := request.ContentLength >= 0 && request.ContentLength < earlyCheckMinBytes
	if isShort || !p.isFirst {
		return disp.Outcome{}, false
	}
	upstream, host := h.lookup(p.Service, p.Slot)
	r := p.Request
	r.Upstream = upstream
	r.Header = nil
	r.Left = p.deadline.Sub(now) - refusalMargin
	if host == h.settings.Name {
		return h.dispatchers.CheckAdmission(r)
	}
	if host == "" || !h.endpoint.CanReach(now, host) {
		return disp.Outcome{}, false
	}
	ctx, cancel := context.WithTimeout(request.Context(), earlyCheckTimeout)
	defer cancel()
	reply, err := peer.Call[earlyReply](ctx, h.endpoint, host, "early", r)
	return reply.Outcome, err == nil && reply.Refused
}

// serveEarly makes the admission check for another entry host.
func (h *Host) serveEarly(_ context.Context, _ string, r disp.Request) (earlyReply, error) {
	outcome, isRefused := h.dispatchers.CheckAdmission(r)
	return earlyReply{Refused: isRefused, Outcome: outcome}, nil
}

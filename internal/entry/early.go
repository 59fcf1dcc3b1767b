package entry

import (
	"context"
	"net/http"
	"time"

	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/peer"
)

// earlyLength is the length of a body, in bytes, from which on the dispatcher is asked before it is read.
const earlyLength = 64 << 10

// earlyTimeout bounds the question; without an answer the body is read.
const earlyTimeout = 100 * time.Millisecond

// earlyReply tells whether a dispatcher would refuse a request.
type earlyReply struct {
	Refused bool         `json:"refused"`
	Outcome disp.Outcome `json:"outcome"`
}

// refusedEarly reports whether a request with a long body would be refused, so that it need not be read.
// One that the caller may have sent before is not asked for, since its outcome may be known.
func (h *Host) refusedEarly(now time.Time, request *http.Request, p *parsed) (disp.Outcome, bool) {
	isShort := request.ContentLength >= 0 && request.ContentLength < earlyLength
	if isShort || !p.isFirst {
		return disp.Outcome{}, false
	}
	upstream, host := h.lookup(p.Service, p.Slot)
	r := p.Request
	r.Upstream = upstream
	r.Header = nil
	r.Left = p.deadline.Sub(now) - replyMargin
	if host == h.settings.Name {
		return h.disps.CheckAdmission(r)
	}
	if host == "" || !h.hub.CanReach(now, host) {
		return disp.Outcome{}, false
	}
	ctx, cancel := context.WithTimeout(request.Context(), earlyTimeout)
	defer cancel()
	reply, err := peer.Call[earlyReply](ctx, h.hub, host, "early", r)
	return reply.Outcome, err == nil && reply.Refused
}

// serveEarly answers another entry host.
func (h *Host) serveEarly(_ context.Context, _ string, r disp.Request) (earlyReply, error) {
	outcome, isRefused := h.disps.CheckAdmission(r)
	return earlyReply{Refused: isRefused, Outcome: outcome}, nil
}

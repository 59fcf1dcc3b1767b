package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagelink.example/lovagelink/internal/conf"
	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/internal/upapi"
	"lovagelink.example/lovagelink/pkg/place"
	"lovagelink.example/lovagelink/pkg/verd"
)

// Headers between callers and entry hosts.
const (
	headerAttempt  = "Request-Attempt" // 1 when the caller sends the request for the first time
	headerAge      = "Request-Age"     // milliseconds since the caller sent the request for the first time
	headerReplayed = "Lovagelink-Repeated"
	headerReason   = "Lovagelink-Reason"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// parsedRequest is a caller's request, together with what the configuration defines for its service and method.
type parsedRequest struct {
	disp.Request
	isFirst     bool      // the caller has not sent the request before: it says so, or the id was generated here
	isRelayed   bool      // another entry host relays the request through this host
	rankName    string    // name of the rank
	firstSentAt time.Time // when the caller sent the request for the first time
	deadline    time.Time

	refusedBy []string // upstreams whose attempt did not run
}

// ServeHTTP serves a request of a caller.
func (h *Host) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == readyPath {
		h.serveReady(w)
		return
	}
	h.stats.Requests.Add(1)
	if h.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	now := time.Now()
	p, fault := h.parse(now, request)
	if fault == nil {
		if outcome, isRefused := h.refusedEarly(now, request, p); isRefused {
			w.Header().Set("Connection", "close")
			h.respond(w, now, p, outcome)
			return
		}
		fault = readBody(w, request, p)
	}
	if fault != nil {
		h.stats.Invalid.Add(1)
		writeError(w, fault)
		return
	}
	h.respond(w, now, p, h.forwardUntilClosing(request.Context(), p))
}

// respond writes the outcome of a request and records its verdict and latency.
func (h *Host) respond(w http.ResponseWriter, receivedAt time.Time, p *parsedRequest, outcome disp.Outcome) {
	h.stats.countVerdict(outcome.Verdict)
	h.metrics.recordResponse(p.rankName, outcome.Verdict, time.Since(receivedAt))
	writeOutcome(w, p, outcome)
}

// parse determines the service, rule and key of a request. The rank comes from the rule alone; callers can't set
// it.
func (h *Host) parse(now time.Time, request *http.Request) (*parsedRequest, *verd.Error) {
	var p *parsedRequest
	var fault *verd.Error
	h.store.Read(func(s *state.State) { p, fault = parseWith(now, s, request) })
	if p != nil {
		p.Origin = h.settings.Name
	}
	return p, fault
}

func parseWith(now time.Time, s *state.State, request *http.Request) (*parsedRequest, *verd.Error) {
	if s.ConfigVersion == 0 {
		return nil, notRunError(http.StatusServiceUnavailable, "configuration", "none is accepted yet",
			"accept one with lovagelink config accept")
	}
	service := s.Config.ServiceForPath(request.URL.Path)
	if service == nil {
		return nil, notRunError(http.StatusNotFound, "path "+request.URL.Path, "no service has this route", "check the path")
	}
	rule := service.RuleFor(request.Method)
	if rule == nil {
		return nil, notRunError(http.StatusMethodNotAllowed, "method "+request.Method,
			"service "+service.Name+" has no rule for it", "use one of its methods")
	}
	id := request.Header.Get(upapi.HeaderRequestID)
	if id == "" && !rule.Idempotent {
		return nil, notRunError(http.StatusBadRequest, "header "+upapi.HeaderRequestID, "it is missing",
			"send an id of your own, and the same one when you send the request again")
	}
	isFirst := request.Header.Get(headerAttempt) == "1"
	if id == "" {
		id = newToken()
		isFirst = true
	}
	key, fault := keyOf(service, rule, request, id)
	if fault != nil {
		return nil, fault
	}
	rank := s.Config.RankOf(rule.Rank)
	p := &parsedRequest{isFirst: isFirst, rankName: rule.Rank, deadline: now.Add(rule.Deadline - responseMargin)}
	p.firstSentAt = now.Add(-ageOf(request.Header, p.isFirst))
	p.Request = disp.Request{
		Service: service.Name, Key: key, Slot: place.Slot(key, service.Slots), ID: id,
		Method: request.Method, Path: request.URL.RequestURI(), Header: forwardedHeader(request.Header),
		Rank: rank, Wait: s.Config.Ranks[rank].Wait, Idempotent: rule.Idempotent,
	}
	return p, checkLength(service, request)
}

// ageOf returns the time since the caller sent a request for the first time; without a valid Request-Age header,
// disp.UnknownAge.
func ageOf(header http.Header, isFirst bool) time.Duration {
	if isFirst {
		return 0
	}
	age, err := strconv.ParseInt(header.Get(headerAge), 10, 64)
	if err != nil || age < 0 || age >= disp.UnknownAge.Milliseconds() {
		return disp.UnknownAge
	}
	return max(time.Duration(age)*time.Millisecond, time.Millisecond)
}

// keyOf returns the key that determines the slot. In a service without keys, a non-idempotent request uses its
// request id as the key, so that a resend reaches the same dispatcher as the first attempt, and an idempotent
// request uses a random key.
func keyOf(service *conf.Service, rule *conf.Rule, request *http.Request, id string) (string, *verd.Error) {
	switch {
	case service.Key == nil && rule.Idempotent:
		return strconv.FormatUint(rand.Uint64(), 16), nil
	case service.Key == nil:
		return id, nil
	case service.Key.Header != "":
		if key := request.Header.Get(service.Key.Header); key != "" {
			return key, nil
		}
		return "", notRunError(http.StatusBadRequest, "header "+service.Key.Header, "the key is missing", "send it")
	}
	segments := strings.Split(strings.Trim(request.URL.Path, "/"), "/")
	if len(segments) < service.Key.Segment || segments[service.Key.Segment-1] == "" {
		return "", notRunError(http.StatusBadRequest, "path "+request.URL.Path,
			fmt.Sprintf("the key is missing at segment %d", service.Key.Segment), "add it to the path")
	}
	return segments[service.Key.Segment-1], nil
}

// checkLength refuses a request whose Content-Length exceeds the limit of the service before any of the body is
// read, and limits how much of the body can be read.
func checkLength(service *conf.Service, request *http.Request) *verd.Error {
	if request.ContentLength > service.BodyLimit {
		return bodyTooLong(service.BodyLimit)
	}
	request.Body = http.MaxBytesReader(nil, request.Body, service.BodyLimit)
	return nil
}

func bodyTooLong(limit int64) *verd.Error {
	return notRunError(http.StatusRequestEntityTooLarge, "body", fmt.Sprintf("it is longer than %d bytes", limit),
		"send less, or raise the body-limit of the service")
}

// readBody reads the whole body and computes the fingerprint of method, path and body.
func readBody(w http.ResponseWriter, request *http.Request, p *parsedRequest) *verd.Error {
	body, err := io.ReadAll(request.Body)
	if limit, ok := err.(*http.MaxBytesError); ok {
		w.Header().Set("Connection", "close")
		return bodyTooLong(limit.Limit)
	}
	if err != nil {
		return notRunError(http.StatusBadRequest, "body", "it ended early", "send it again")
	}
	p.Body = body
	var hash xxhash.Digest
	hash.Reset()
	fmt.Fprintf(&hash, "%s %s\n", p.Method, p.Path)
	_, _ = hash.Write(body)
	p.Fingerprint = hash.Sum64()
	return nil
}

// forwardedHeader returns a copy of the header without the fields that apply to a single connection or are
// reserved for lovagelink.
func forwardedHeader(header http.Header) http.Header {
	copied := header.Clone()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		copied.Del(strings.TrimSpace(name))
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	for name := range copied {
		if strings.HasPrefix(name, "Lovagelink-") || name == headerAttempt || name == headerAge {
			copied.Del(name)
		}
	}
	return copied
}

func notRunError(status int, place, reason, remedy string) *verd.Error {
	return &verd.Error{Verdict: verd.NotRun, Status: status, Place: place, Reason: reason, Remedy: remedy}
}

func writeError(w http.ResponseWriter, fault *verd.Error) {
	w.Header().Set(verd.Header, fault.Verdict.String())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(fault.Status)
	_ = json.NewEncoder(w).Encode(fault)
}

// writeOutcome writes the upstream's response, or an error if the request did not run or may have run.
func writeOutcome(w http.ResponseWriter, p *parsedRequest, outcome disp.Outcome) {
	header := w.Header()
	if outcome.Verdict != verd.Ran {
		if outcome.RetryAfter > 0 {
			seconds := int(outcome.RetryAfter.Seconds()) + 1
			header.Set("Retry-After", strconv.Itoa(seconds))
		}
		header.Set(headerReason, oneLine(outcome.Reason))
		header.Set(upapi.HeaderRequestID, p.ID)
		writeError(w, &verd.Error{
			Verdict: outcome.Verdict, Status: outcome.Status,
			Place: "service " + p.Service, Reason: outcome.Reason,
		})
		return
	}
	for name, values := range forwardedHeader(outcome.Header) {
		header[name] = values
	}
	header.Set(upapi.HeaderRequestID, p.ID)
	header.Set(verd.Header, outcome.Verdict.String())
	header.Set("Content-Length", strconv.Itoa(len(outcome.Body)))
	if outcome.Replayed {
		header.Set(headerReplayed, "true")
	}
	w.WriteHeader(outcome.Status)
	_, _ = w.Write(outcome.Body)
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}

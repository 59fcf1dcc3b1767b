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
	headerAttempt  = "Request-Attempt" // 1 for the first time that a request is sent
	headerAge      = "Request-Age"     // milliseconds since then
	headerRepeated = "Lovagelink-Repeated"
	headerReason   = "Lovagelink-Reason"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// parsed is a caller's request with what the configuration says of it.
type parsed struct {
	disp.Request
	isFirst  bool      // the caller has not sent the request before, as it says or since the id is new
	isDetour bool      // another entry host has sent it here
	rank     string    // by name
	sentAt   time.Time // when the caller sent the request for the first time
	deadline time.Time

	refusedBy []string // upstreams that have not run an attempt
}

// ServeHTTP answers a caller.
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
			h.answer(w, now, p, outcome)
			return
		}
		fault = readBody(w, request, p)
	}
	if fault != nil {
		h.stats.Invalid.Add(1)
		writeFault(w, fault)
		return
	}
	h.answer(w, now, p, h.forward(request.Context(), p))
}

// answer answers a request that came in at a time.
func (h *Host) answer(w http.ResponseWriter, came time.Time, p *parsed, outcome disp.Outcome) {
	h.stats.count(outcome.Verdict)
	h.metrics.answered(p.rank, outcome.Verdict, time.Since(came))
	writeOutcome(w, p, outcome)
}

// parse finds the service, rule and key of a request; what the caller claims of rank is not read.
func (h *Host) parse(now time.Time, request *http.Request) (*parsed, *verd.Error) {
	var p *parsed
	var fault *verd.Error
	h.feed.Read(func(s *state.State) { p, fault = parseWith(now, s, request) })
	if p != nil {
		p.Origin = h.settings.Name
	}
	return p, fault
}

func parseWith(now time.Time, s *state.State, request *http.Request) (*parsed, *verd.Error) {
	if s.ConfigVersion == 0 {
		return nil, notRun(http.StatusServiceUnavailable, "configuration", "none is accepted yet",
			"accept one with lovagelink config accept")
	}
	service := s.Config.ServiceForPath(request.URL.Path)
	if service == nil {
		return nil, notRun(http.StatusNotFound, "path "+request.URL.Path, "no service has this route", "check the path")
	}
	rule := service.RuleFor(request.Method)
	if rule == nil {
		return nil, notRun(http.StatusMethodNotAllowed, "method "+request.Method,
			"service "+service.Name+" has no rule for it", "use one of its methods")
	}
	id := request.Header.Get(upapi.HeaderRequestID)
	if id == "" && !rule.Idempotent {
		return nil, notRun(http.StatusBadRequest, "header "+upapi.HeaderRequestID, "it is missing",
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
	p := &parsed{isFirst: isFirst, rank: rule.Rank, deadline: now.Add(rule.Deadline - answerMargin)}
	p.sentAt = now.Add(-ageOf(request.Header, p.isFirst))
	p.Request = disp.Request{
		Service: service.Name, Key: key, Slot: place.Slot(key, service.Slots), ID: id,
		Method: request.Method, Path: request.URL.RequestURI(), Header: passedOn(request.Header),
		Rank: rank, Wait: s.Config.Ranks[rank].Wait, Idempotent: rule.Idempotent,
	}
	return p, checkLength(service, request)
}

// ageOf returns how long ago the caller has sent a request for the first time; a caller that does not
// say is taken to have sent it long ago.
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

// keyOf returns the key that decides on the slot. Exclusive work of a service without keys goes by
// its request id, so that a resend meets the first attempt; other work goes anywhere.
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
		return "", notRun(http.StatusBadRequest, "header "+service.Key.Header, "the key is missing", "send it")
	}
	segments := strings.Split(strings.Trim(request.URL.Path, "/"), "/")
	if len(segments) < service.Key.Segment || segments[service.Key.Segment-1] == "" {
		return "", notRun(http.StatusBadRequest, "path "+request.URL.Path,
			fmt.Sprintf("the key is missing at segment %d", service.Key.Segment), "add it to the path")
	}
	return segments[service.Key.Segment-1], nil
}

// checkLength refuses a body that says it is too long before any of it is read.
func checkLength(service *conf.Service, request *http.Request) *verd.Error {
	if request.ContentLength > service.BodyLimit {
		return tooLong(service.BodyLimit)
	}
	request.Body = http.MaxBytesReader(nil, request.Body, service.BodyLimit)
	return nil
}

func tooLong(limit int64) *verd.Error {
	return notRun(http.StatusRequestEntityTooLarge, "body", fmt.Sprintf("it is longer than %d bytes", limit),
		"send less, or raise the body-limit of the service")
}

// readBody reads the whole body and takes its fingerprint.
func readBody(w http.ResponseWriter, request *http.Request, p *parsed) *verd.Error {
	body, err := io.ReadAll(request.Body)
	if limit, ok := err.(*http.MaxBytesError); ok {
		w.Header().Set("Connection", "close")
		return tooLong(limit.Limit)
	}
	if err != nil {
		return notRun(http.StatusBadRequest, "body", "it ended early", "send it again")
	}
	p.Body = body
	var hash xxhash.Digest
	hash.Reset()
	fmt.Fprintf(&hash, "%s %s\n", p.Method, p.Path)
	_, _ = hash.Write(body)
	p.Fingerprint = hash.Sum64()
	return nil
}

// passedOn copies the headers that go with the request beyond this hop.
func passedOn(header http.Header) http.Header {
	copied := header.Clone()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		copied.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		copied.Del(name)
	}
	for name := range copied {
		if strings.HasPrefix(name, "Lovagelink-") || name == headerAttempt || name == headerAge {
			copied.Del(name)
		}
	}
	return copied
}

func notRun(status int, place, reason, remedy string) *verd.Error {
	return &verd.Error{Verdict: verd.NotRun, Status: status, Place: place, Reason: reason, Remedy: remedy}
}

func writeFault(w http.ResponseWriter, fault *verd.Error) {
	w.Header().Set(verd.Header, fault.Verdict.String())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(fault.Status)
	_ = json.NewEncoder(w).Encode(fault)
}

// writeOutcome answers with the upstream's answer, or says why there is none.
func writeOutcome(w http.ResponseWriter, p *parsed, outcome disp.Outcome) {
	header := w.Header()
	if outcome.Verdict != verd.Ran {
		if outcome.RetryAfter > 0 {
			seconds := int(outcome.RetryAfter.Seconds()) + 1
			header.Set("Retry-After", strconv.Itoa(seconds))
		}
		header.Set(headerReason, oneLine(outcome.Reason))
		header.Set(upapi.HeaderRequestID, p.ID)
		writeFault(w, &verd.Error{
			Verdict: outcome.Verdict, Status: outcome.Status,
			Place: "service " + p.Service, Reason: outcome.Reason,
		})
		return
	}
	for name, values := range passedOn(outcome.Header) {
		header[name] = values
	}
	header.Set(upapi.HeaderRequestID, p.ID)
	header.Set(verd.Header, outcome.Verdict.String())
	header.Set("Content-Length", strconv.Itoa(len(outcome.Body)))
	if outcome.Replayed {
		header.Set(headerRepeated, "true")
	}
	w.WriteHeader(outcome.Status)
	_, _ = w.Write(outcome.Body)
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}

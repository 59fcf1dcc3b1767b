package front

import (
	"context"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/http1"
	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/route"
)

// call is one request of a caller on its way.
type call struct {
	x        *http1.Exchange
	marks    calls.RequestInfo
	route    *route.Route
	service  *route.Service
	deadline time.Time // when the caller, or the route, gives up
	header   http.Header
	target   string
	fence    uint64          // of the owner of the key
	sent     int             // times that it was sent
	tried    map[string]bool // upstreams that it was sent to
	mayRun   bool            // an upstream may have run it
}

// outcome is the final answer to a request that no upstream has answered.
type outcome struct {
	status int
	after  time.Duration // when to come back, for one that has not run
	reason string
}

// serve answers one request of a caller.
func (f *Front) serve(ctx context.Context, x *http1.Exchange) {
	f.stats.Requests.Add(1)
	c, failed := f.open(x)
	if failed == nil && f.refuses.Load() {
		failed = c.refuse(leastAfter, "this host is stopping")
	}
	if failed == nil {
		failed = f.forward(ctx, c)
	}
	if failed == nil {
		return
	}
	if ctx.Err() != nil {
		f.stats.Gone.Add(1)
		failed.reason = "the caller has left"
	}
	f.end(x, c, failed)
}

// open finds the route and the service of a request, and until when it is worth an answer.
func (f *Front) open(x *http1.Exchange) (*call, *outcome) {
	c := &call{x: x, marks: f.codec.Read(x.Request.Header), tried: make(map[string]bool)}
	c.target = x.Request.RequestURI
	if !strings.HasPrefix(c.target, "/") {
		c.target = x.Request.URL.RequestURI()
	}
	view := f.view.Load()
	if view.Table == nil {
		return c, &outcome{http.StatusServiceUnavailable, unknownAfter, "no configuration is known yet"}
	}
	path, _, _ := strings.Cut(c.target, "?")
	c.route = view.Table.Find(x.Request.Host, path)
	if c.route == nil {
		return c, &outcome{http.StatusNotFound, 0, "no route"}
	}
	left := c.route.Timeout
	if c.marks.HasLeft {
		left = min(left, c.marks.Left)
	}
	c.deadline = x.Arrived.Add(left)
	c.header = forwarded(x.Request.Header)
	f.mu.Lock()
	defer f.mu.Unlock()
	split := f.splits[c.route.Name]
	if split == nil {
		split = &route.Split{}
		f.splits[c.route.Name] = split
	}
	c.service = view.Table.Config.ServiceNamed(split.Pick(c.route.Destinations))
	f.budget(c.service.Name).CountRequest(x.Arrived)
	if c.service.Keyed && c.marks.HasKey {
		counts := f.counts[c.service.Name]
		if counts == nil {
			counts = make(map[int]int)
			f.counts[c.service.Name] = counts
		}
		counts[keyed.Bucket(c.marks.Key)]++
	}
	return c, nil
}

// unknownAfter is when to come back to a host that does not know enough yet; it follows the control hosts by then.
const unknownAfter = 500 * time.Millisecond

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwarded returns the headers of a message that go on with it.
func forwarded(header http.Header) http.Header {
	next := header.Clone()
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			next.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		next.Del(name)
	}
	return next
}

// Waits that are told to callers, from what a request takes at the least to what a caller heeds.
const (
	leastAfter = 50 * time.Millisecond
	mostAfter  = 3 * time.Second
)

// end writes the final answer to a request that no upstream has answered.
func (f *Front) end(x *http1.Exchange, c *call, o *outcome) {
	header := http.Header{}
	switch o.status {
	case http.StatusServiceUnavailable:
		f.stats.Refused.Add(1)
		after := min(max(o.after, leastAfter), mostAfter)
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	case http.StatusNotFound:
		f.stats.Unrouted.Add(1)
	case http.StatusGatewayTimeout:
		f.stats.Late.Add(1)
	default:
		f.stats.Unknown.Add(1)
	}
	x.Reply(o.status, header, []byte(o.reason+"\n"))
	f.took(c, o.status)
	f.tell(c, o)
}

// tell logs why a request was not served.
func (f *Front) tell(c *call, o *outcome) {
	service, name := "", ""
	if c.service != nil {
		service = c.service.Name
	}
	if c.route != nil {
		name = c.route.Name
	}
	view := f.view.Load()
	version := uint64(0)
	if view.Table != nil {
		version = view.Table.Config.Version
	}
	_ = f.logger.Log("event", "request", "id", c.marks.ID, "status", o.status, "reason", o.reason, "route", name,
		"service", service, "key", c.marks.Key, "sent", c.sent, "may-have-run", c.mayRun, "after", o.after,
		"took", time.Since(c.x.Arrived).Round(time.Millisecond), "config", version, "index", view.Index)
}

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

// call is the state of one request of a caller while it is served.
type call struct {
	exchange   *http1.Exchange
	info       calls.RequestInfo
	route      *route.Route
	service    *route.Service
	deadline   time.Time // the earlier of the caller's deadline and the route's timeout
	header     http.Header
	target     string
	token      uint64          // fencing token of the range that holds the key
	sent       int             // times that the request was sent to an upstream
	tried      map[string]bool // ids of the upstreams that the request was sent to
	mayHaveRun bool            // an upstream may have run the request
}

// outcome is the final response to a request that got no response from an upstream.
type outcome struct {
	status     int
	retryAfter time.Duration // Retry-After of a request that has not run
	reason     string
}

// serve handles one request of a caller.
func (f *Front) serve(ctx context.Context, x *http1.Exchange) {
	f.stats.Requests.Add(1)
	c, failure := f.resolve(x)
	if failure == nil && f.refusing.Load() {
		failure = c.refuse(minRetryAfter, "this host is stopping")
	}
	if failure == nil {
		failure = f.forward(ctx, c)
	}
	if failure == nil {
		return
	}
	if ctx.Err() != nil {
		f.stats.Gone.Add(1)
		failure.reason = "the caller has left"
	}
	f.respondFailure(x, c, failure)
}

// resolve finds the route and the service of a request, and sets the deadline. It also counts the request for the retry
// budget and for the load report.
func (f *Front) resolve(x *http1.Exchange) (*call, *outcome) {
	c := &call{exchange: x, info: f.codec.Read(x.Request.Header), tried: make(map[string]bool)}
	c.target = x.Request.RequestURI
	if !strings.HasPrefix(c.target, "/") {
		c.target = x.Request.URL.RequestURI()
	}
	view := f.view.Load()
	if view.Table == nil {
		return c, &outcome{http.StatusServiceUnavailable, unreadyRetryAfter, "no configuration is known yet"}
	}
	path, _, _ := strings.Cut(c.target, "?")
	c.route = view.Table.Find(x.Request.Host, path)
	if c.route == nil {
		return c, &outcome{http.StatusNotFound, 0, "no route"}
	}
	left := c.route.Timeout
	if c.info.HasLeft {
		left = min(left, c.info.Left)
	}
	c.deadline = x.Arrived.Add(left)
	c.header = endToEndHeaders(x.Request.Header)
	f.mu.Lock()
	defer f.mu.Unlock()
	split := f.splits[c.route.Name]
	if split == nil {
		split = &route.Split{}
		f.splits[c.route.Name] = split
	}
	c.service = view.Table.Config.ServiceNamed(split.Pick(c.route.Destinations))
	f.retryBudget(c.service.Name).CountRequest(x.Arrived)
	if c.service.Keyed && c.info.HasKey {
		counts := f.keyCounts[c.service.Name]
		if counts == nil {
			counts = make(map[int]int)
			f.keyCounts[c.service.Name] = counts
		}
		counts[keyed.Bucket(c.info.Key)]++
	}
	return c, nil
}

// unreadyRetryAfter is the Retry-After of a host that has no configuration or no usable upstream yet. By then the host
// should have received an update from a control host.
const unreadyRetryAfter = 500 * time.Millisecond

// hopByHop lists the headers that apply to a single connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeaders returns a copy of a message's headers without the hop-by-hop ones, among them those that the
// Connection header names.
func endToEndHeaders(header http.Header) http.Header {
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

// Bounds of Retry-After: from the least time that a request takes to the longest wait that callers respect.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// respondFailure writes the final response to a request that got no response from an upstream.
func (f *Front) respondFailure(x *http1.Exchange, c *call, o *outcome) {
	header := http.Header{}
	switch o.status {
	case http.StatusServiceUnavailable:
		f.stats.Refused.Add(1)
		retryAfter := min(max(o.retryAfter, minRetryAfter), maxRetryAfter)
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	case http.StatusNotFound:
		f.stats.Unrouted.Add(1)
	case http.StatusGatewayTimeout:
		f.stats.Late.Add(1)
	default:
		f.stats.Unknown.Add(1)
	}
	x.Reply(o.status, header, []byte(o.reason+"\n"))
	f.recordLatency(c, o.status)
	f.logFailure(c, o)
}

// logFailure logs why a request was not served.
func (f *Front) logFailure(c *call, o *outcome) {
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
	_ = f.logger.Log("event", "request", "id", c.info.ID, "status", o.status, "reason", o.reason, "route", name,
		"service", service, "key", c.info.Key, "sent", c.sent, "may-have-run", c.mayHaveRun, "after", o.retryAfter,
		"took", time.Since(c.exchange.Arrived).Round(time.Millisecond), "config", version, "index", view.Index)
}

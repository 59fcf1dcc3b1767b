package front

import (
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"lovagelink.example/lovagelink/internal/meter"
)

// stats counts requests by their result.
type stats struct {
	Requests, Served, Refused, Unknown, Late, Unrouted, Gone atomic.Int64
	Sent, Resent, Shed, Mismatched                           atomic.Int64
	UpdateBytes, UpdatesFailed                               atomic.Int64
}

// Metrics returns the counts and gauges of this host.
func (f *Front) Metrics() (counts, gauges []meter.Metric) {
	count := func(name, help string, value *atomic.Int64) {
		counts = append(counts, meter.Metric{Name: name, Help: help, Read: func(time.Time) int64 { return value.Load() }})
	}
	s := &f.stats
	count("requests", "requests of callers that came in", &s.Requests)
	count("served", "requests whose caller got an upstream's answer", &s.Served)
	count("refused", "requests that were refused and have not run", &s.Refused)
	count("unknown", "requests that may have run and got no whole answer", &s.Unknown)
	count("late", "requests without an answer within their time limit", &s.Late)
	count("unrouted", "requests without a route", &s.Unrouted)
	count("gone", "requests whose caller left", &s.Gone)
	count("sent", "requests sent to upstreams", &s.Sent)
	count("repeated", "requests sent to upstreams beyond the first of each", &s.Resent)
	count("shed", "requests that an upstream had no room for", &s.Shed)
	count("strays", "answers of upstreams to other requests than the one sent", &s.Mismatched)
	count("update-bytes", "bytes received from control hosts in answer to follow calls", &s.UpdateBytes)
	count("updates-failed", "follow calls without an answer, or answered by a host without contact with the leader", &s.UpdatesFailed)
	gauge := func(name, help string, read func(*View) int64) {
		gauges = append(gauges, meter.Metric{Name: name, Help: help, Read: func(time.Time) int64 { return read(f.view.Load()) }})
	}
	gauge("log-index", "position in the control log that this host has reached", func(v *View) int64 { return int64(v.Index) })
	gauge("config-version", "accepted configuration that is in force here", func(v *View) int64 {
		if v.Table == nil {
			return 0
		}
		return int64(v.Table.Config.Version)
	})
	gauge("upstreams", "upstreams that this host knows", func(v *View) int64 { return int64(v.upstreams.size()) })
	return counts, gauges
}

// SetMeter sets the meter that records the latencies of requests.
func (f *Front) SetMeter(m *meter.Meter) { f.meter.Store(m) }

// recordLatency records the latency of a request with its rank and status.
func (f *Front) recordLatency(c *call, status int) {
	m := f.meter.Load()
	if m == nil || c.route == nil {
		return
	}
	m.RecordLatency(time.Since(c.exchange.Arrived), attribute.Int("rank", c.route.Rank), attribute.Int("status", status))
}

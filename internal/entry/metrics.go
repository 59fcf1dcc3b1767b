package entry

import (
	"time"

	"go.opentelemetry.io/otel/attribute"

	"lovagelink.example/lovagelink/internal/meter"
	"lovagelink.example/lovagelink/pkg/verd"
)

// count is a number that only rises.
type count struct {
	name, help string
	read       func(h *Host) int64
}

var counts = []count{
	{"requests", "requests of callers that came in", func(h *Host) int64 { return h.stats.Requests.Load() }},
	{"faulty", "requests that no service could take", func(h *Host) int64 { return h.stats.Invalid.Load() }},
	{"ran", "requests that were answered ran", func(h *Host) int64 { return h.stats.Ran.Load() }},
	{"not-run", "requests that were answered not-run", func(h *Host) int64 { return h.stats.NotRun.Load() }},
	{"may-have-run", "requests that were answered may-have-run", func(h *Host) int64 { return h.stats.MayHaveRun.Load() }},
	{"forwarded", "attempts through the dispatcher of another host", func(h *Host) int64 { return h.stats.Forwarded.Load() }},
	{"sent", "requests sent to upstreams", func(h *Host) int64 { return h.dispatch.Sent.Load() }},
	{"failed", "requests to upstreams that got no whole answer", func(h *Host) int64 { return h.dispatch.Failed.Load() }},
	{"crossed", "answers of upstreams to another request", func(h *Host) int64 { return h.dispatch.Crossed.Load() }},
	{"refused", "requests refused since they would be late", func(h *Host) int64 { return h.dispatch.Refused.Load() }},
	{"joined", "resends that got the outcome of the first request", func(h *Host) int64 { return h.dispatch.Joined.Load() }},
	{"offloaded", "requests offered to another upstream since it is faster", func(h *Host) int64 { return h.dispatch.Offloaded.Load() }},
}

// gauge is a number of the present.
type gauge struct {
	name, help string
	read       func(h *Host, now time.Time) int64
}

var gauges = []gauge{
	{"log-index", "position in the control log that this host has reached", func(h *Host, _ time.Time) int64 {
		return int64(h.feed.Index())
	}},
	{"config-version", "accepted configuration that is in force here", func(h *Host, _ time.Time) int64 {
		return int64(h.configVersion())
	}},
	{"remembered", "exclusive requests of which the outcome is remembered", func(h *Host, _ time.Time) int64 {
		return int64(h.book.Len())
	}},
	{"busy", "requests that wait or run here", func(h *Host, now time.Time) int64 { return int64(h.disps.Busy(now)) }},
	{"lease-left-ms", "milliseconds until the lease of this host ends", func(h *Host, now time.Time) int64 {
		return h.client.LeaseUntil().Sub(now).Milliseconds()
	}},
	{"dispatchers", "upstreams that this host dispatches for", func(h *Host, now time.Time) int64 {
		return int64(len(h.disps.Health(now)))
	}},
	{"zone-alone", "1 while the zone goes on by itself", func(h *Host, now time.Time) int64 {
		return boolGauge(h.zoneLease.isAlone(now))
	}},
	{"replica-leading", "1 while the replica of this host leads", func(h *Host, now time.Time) int64 {
		return boolGauge(h.leader != nil && h.leader.Status(now).Leading)
	}},
}

// metrics measures requests and serves all numbers for scraping.
type metrics struct {
	*meter.Meter
}

func newMetrics(h *Host) (*metrics, error) {
	var counted, gauged []meter.Metric
	for _, one := range counts {
		counted = append(counted, meter.Metric{
			Name: one.name, Help: one.help, Read: func(time.Time) int64 { return one.read(h) },
		})
	}
	for _, one := range gauges {
		gauged = append(gauged, meter.Metric{
			Name: one.name, Help: one.help, Read: func(now time.Time) int64 { return one.read(h, now) },
		})
	}
	m, err := meter.New(counted, gauged)
	return &metrics{m}, err
}

// answered measures a request that has been answered.
func (m *metrics) answered(rank string, verdict verd.Verdict, took time.Duration) {
	m.RecordLatency(took, attribute.String("rank", rank), attribute.String("verdict", verdict.String()))
}

func boolGauge(is bool) int64 {
	if is {
		return 1
	}
	return 0
}

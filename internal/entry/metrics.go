package entry

import (
	"time"

	"go.opentelemetry.io/otel/attribute"

	"lovagelink.example/lovagelink/internal/meter"
	"lovagelink.example/lovagelink/pkg/verd"
)

// counter is a metric that only increases.
type counter struct {
	name, help string
	read       func(h *Host) int64
}

var counters = []counter{
	{"requests", "requests of callers that came in", func(h *Host) int64 { return h.stats.Requests.Load() }},
	{"faulty", "requests that no service could take", func(h *Host) int64 { return h.stats.Invalid.Load() }},
	{"ran", "requests that were answered ran", func(h *Host) int64 { return h.stats.Ran.Load() }},
	{"not-run", "requests that were answered not-run", func(h *Host) int64 { return h.stats.NotRun.Load() }},
	{"may-have-run", "requests that were answered may-have-run", func(h *Host) int64 { return h.stats.MayHaveRun.Load() }},
	{"forwarded", "attempts through the dispatcher of another host", func(h *Host) int64 { return h.stats.Forwarded.Load() }},
	{"sent", "requests sent to upstreams", func(h *Host) int64 { return h.dispatchStats.Sent.Load() }},
	{"failed", "requests to upstreams that got no whole answer", func(h *Host) int64 { return h.dispatchStats.Failed.Load() }},
	{"crossed", "answers of upstreams to another request", func(h *Host) int64 { return h.dispatchStats.Crossed.Load() }},
	{"refused", "requests refused since they would be late", func(h *Host) int64 { return h.dispatchStats.Refused.Load() }},
	{"joined", "resends that got the outcome of the first request", func(h *Host) int64 { return h.dispatchStats.Joined.Load() }},
	{"offloaded", "requests offered to another upstream since it is faster", func(h *Host) int64 { return h.dispatchStats.Offloaded.Load() }},
}

// gauge is a metric that can rise and fall.
type gauge struct {
	name, help string
	read       func(h *Host, now time.Time) int64
}

var gauges = []gauge{
	{"log-index", "position in the control log that this host has reached", func(h *Host, _ time.Time) int64 {
		return int64(h.store.Index())
	}},
	{"config-version", "accepted configuration that is in force here", func(h *Host, _ time.Time) int64 {
		return int64(h.configVersion())
	}},
	{"remembered", "exclusive requests of which the outcome is remembered", func(h *Host, _ time.Time) int64 {
		return int64(h.dedup.Len())
	}},
	{"busy", "requests that wait or run here", func(h *Host, now time.Time) int64 { return int64(h.dispatchers.Busy(now)) }},
	{"lease-left-ms", "milliseconds until the lease of this host ends", func(h *Host, now time.Time) int64 {
		return h.client.LeaseUntil().Sub(now).Milliseconds()
	}},
	{"dispatchers", "upstreams that this host dispatches for", func(h *Host, now time.Time) int64 {
		return int64(len(h.dispatchers.Health(now)))
	}},
	{"zone-alone", "1 while the zone goes on by itself", func(h *Host, now time.Time) int64 {
		return boolGauge(h.zoneLease.isActive(now))
	}},
	{"replica-leading", "1 while the replica of this host leads", func(h *Host, now time.Time) int64 {
		return boolGauge(h.controller != nil && h.controller.Status(now).Leading)
	}},
}

// metrics records the latencies of requests and serves all metrics for scraping.
type metrics struct {
	*meter.Meter
}

func newMetrics(h *Host) (*metrics, error) {
	var counterMetrics, gaugeMetrics []meter.Metric
	for _, c := range counters {
		counterMetrics = append(counterMetrics, meter.Metric{
			Name: c.name, Help: c.help, Read: func(time.Time) int64 { return c.read(h) },
		})
	}
	for _, g := range gauges {
		gaugeMetrics = append(gaugeMetrics, meter.Metric{
			Name: g.name, Help: g.help, Read: func(now time.Time) int64 { return g.read(h, now) },
		})
	}
	m, err := meter.New(counterMetrics, gaugeMetrics)
	return &metrics{m}, err
}

// recordResponse records the latency of the response to a request.
func (m *metrics) recordResponse(rank string, verdict verd.Verdict, latency time.Duration) {
	m.RecordLatency(latency, attribute.String("rank", rank), attribute.String("verdict", verdict.String()))
}

func boolGauge(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"lovagelink.example/lovagelink/pkg/verd"
)

// meterName is the scope of all metrics, and begins their names.
const meterName = "lovagelink"

// latencyBounds are the bounds of the buckets of request times, in seconds.
var latencyBounds = []float64{0.005, 0.01, 0.015, 0.025, 0.05, 0.1, 0.25, 0.3, 0.5, 1, 2.5, 5, 10}

// count is a number that only rises.
type count struct {
	name, help string
	read       func(h *Host) int64
}

var counts = []count{
	{"requests", "requests of callers that came in", func(h *Host) int64 { return h.stats.Requests.Load() }},
	{"faulty", "requests that no service could take", func(h *Host) int64 { return h.stats.Faulty.Load() }},
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
	handler http.Handler
	latency metric.Float64Histogram
}

func newMetrics(h *Host) (*metrics, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(reader)).Meter(meterName)
	if err := observe(h, meter); err != nil {
		return nil, err
	}
	latency, err := meter.Float64Histogram(fullName("request-duration"), metric.WithUnit("s"),
		metric.WithDescription("time from a request to its answer, by rank and verdict"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, err
	}
	return &metrics{handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), latency: latency}, nil
}

func fullName(name string) string { return meterName + "." + name }

// observe has the counts and gauges read at each scrape.
func observe(h *Host, meter metric.Meter) error {
	for _, one := range counts {
		_, err := meter.Int64ObservableCounter(fullName(one.name), metric.WithDescription(one.help),
			metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
				observer.Observe(one.read(h))
				return nil
			}))
		if err != nil {
			return err
		}
	}
	for _, one := range gauges {
		_, err := meter.Int64ObservableGauge(fullName(one.name), metric.WithDescription(one.help),
			metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
				observer.Observe(one.read(h, time.Now()))
				return nil
			}))
		if err != nil {
			return err
		}
	}
	return nil
}

// answered measures a request that has been answered.
func (m *metrics) answered(rank string, verdict verd.Verdict, took time.Duration) {
	m.latency.Record(context.Background(), took.Seconds(), metric.WithAttributes(
		attribute.String("rank", rank), attribute.String("verdict", verdict.String())))
}

func boolGauge(is bool) int64 {
	if is {
		return 1
	}
	return 0
}

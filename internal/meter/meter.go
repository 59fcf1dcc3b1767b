package meter

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
)

// Metric is a counter or gauge whose value is read at each scrape.
type Metric struct {
	Name, Help string
	Read       func(now time.Time) int64
}

// scope is the prefix of all metric names.
const scope = "lovagelink"

// bucketBounds are the upper bounds of the latency buckets, in seconds: from the latency of one forwarded request up
// to the deadlines of callers.
var bucketBounds = []float64{0.005, 0.01, 0.015, 0.025, 0.05, 0.1, 0.25, 0.3, 0.5, 1, 2.5, 5, 10}

// Meter holds the metrics of one process.
type Meter struct {
	handler http.Handler
	latency metric.Float64Histogram
}

// New returns a meter with the given counters, which only increase, and gauges.
func New(counters, gauges []Metric) (*Meter, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(reader)).Meter(scope)
	for _, counter := range counters {
		_, err := meter.Int64ObservableCounter(scope+"."+counter.Name, metric.WithDescription(counter.Help),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(counter.Read(time.Now()))
				return nil
			}))
		if err != nil {
			return nil, err
		}
	}
	for _, gauge := range gauges {
		_, err := meter.Int64ObservableGauge(scope+"."+gauge.Name, metric.WithDescription(gauge.Help),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(gauge.Read(time.Now()))
				return nil
			}))
		if err != nil {
			return nil, err
		}
	}
	latency, err := meter.Float64Histogram(scope+".request-duration", metric.WithUnit("s"),
		metric.WithDescription("time from a request to its answer"), metric.WithExplicitBucketBoundaries(bucketBounds...))
	if err != nil {
		return nil, err
	}
	return &Meter{handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), latency: latency}, nil
}

// RecordLatency records the latency of a request under the given labels.
func (m *Meter) RecordLatency(latency time.Duration, labels ...attribute.KeyValue) {
	m.latency.Record(context.Background(), latency.Seconds(), metric.WithAttributes(labels...))
}

// ServeHTTP writes all metrics.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

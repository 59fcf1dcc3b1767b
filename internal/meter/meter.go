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

// Metric is a value that is read when it is asked for.
type Metric struct {
	Name, Help string
	Read       func(now time.Time) int64
}

// scope begins the names of all metrics.
const scope = "lovagelink"

// bounds of the buckets of times, in seconds: from a hop to the time limits of callers.
var bounds = []float64{0.005, 0.01, 0.015, 0.025, 0.05, 0.1, 0.25, 0.3, 0.5, 1, 2.5, 5, 10}

// Meter holds the numbers of one process.
type Meter struct {
	handler http.Handler
	latency metric.Float64Histogram
}

// New returns a meter with counts, which only rise, and gauges.
func New(counts, gauges []Metric) (*Meter, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(reader)).Meter(scope)
	for _, one := range counts {
		_, err := meter.Int64ObservableCounter(scope+"."+one.Name, metric.WithDescription(one.Help),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(one.Read(time.Now()))
				return nil
			}))
		if err != nil {
			return nil, err
		}
	}
	for _, one := range gauges {
		_, err := meter.Int64ObservableGauge(scope+"."+one.Name, metric.WithDescription(one.Help),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(one.Read(time.Now()))
				return nil
			}))
		if err != nil {
			return nil, err
		}
	}
	latency, err := meter.Float64Histogram(scope+".request-duration", metric.WithUnit("s"),
		metric.WithDescription("time from a request to its answer"), metric.WithExplicitBucketBoundaries(bounds...))
	if err != nil {
		return nil, err
	}
	return &Meter{handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), latency: latency}, nil
}

// RecordLatency records how long a request took, beside what sets it apart.
func (m *Meter) RecordLatency(took time.Duration, labels ...attribute.KeyValue) {
	m.latency.Record(context.Background(), took.Seconds(), metric.WithAttributes(labels...))
}

// ServeHTTP writes all numbers.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

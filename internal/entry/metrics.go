package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// meterName is the scope of all metrics.
const meterName = "lovagelink"

// metricsHandler serves the counters and gauges of this host for scraping.
func (h *Host) metricsHandler() (http.Handler, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	meter := provider.Meter(meterName)
	for name := range h.counts() {
		_, err := meter.Int64ObservableCounter("lovagelink."+name, metric.WithInt64Callback(
			func(_ context.Context, observer metric.Int64Observer) error {
				observer.Observe(h.counts()[name])
				return nil
			}))
		if err != nil {
			return nil, err
		}
	}
	if err := h.addGauges(meter); err != nil {
		return nil, err
	}
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), nil
}

// addGauges adds what a host knows of the present.
func (h *Host) addGauges(meter metric.Meter) error {
	gauges := map[string]func(now time.Time) int64{
		"lovagelink.log-index":       func(time.Time) int64 { return int64(h.feed.Index()) },
		"lovagelink.remembered":      func(time.Time) int64 { return int64(h.book.Len()) },
		"lovagelink.busy":            func(now time.Time) int64 { return int64(h.disps.Busy(now)) },
		"lovagelink.lease-left-ms":   func(now time.Time) int64 { return h.client.LeaseUntil().Sub(now).Milliseconds() },
		"lovagelink.dispatchers":     func(now time.Time) int64 { return int64(len(h.disps.Health(now))) },
		"lovagelink.zone-alone":      func(now time.Time) int64 { return boolGauge(h.zoneLease.isAlone(now)) },
		"lovagelink.replica-leading": func(now time.Time) int64 { return boolGauge(h.leader != nil && h.leader.Status(now).Leading) },
	}
	for name, read := range gauges {
		_, err := meter.Int64ObservableGauge(name, metric.WithInt64Callback(
			func(_ context.Context, observer metric.Int64Observer) error {
				observer.Observe(read(time.Now()))
				return nil
			}))
		if err != nil {
			return err
		}
	}
	return nil
}

func boolGauge(is bool) int64 {
	if is {
		return 1
	}
	return 0
}

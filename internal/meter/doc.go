// Package meter serves the counters, gauges and latencies of a process in the Prometheus text format.
package meter

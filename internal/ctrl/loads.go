package ctrl

import (
	"maps"
	"slices"
	"time"

	"lovagelink.example/lovagelink/pkg/place"
)

// loadDecay is the factor by which the recorded loads are multiplied once per balancePeriod.
const loadDecay = 0.8

// slotKey identifies a slot of a service.
type slotKey struct {
	service string
	slot    int
}

// Constants for the relative speeds of upstreams.
const (
	slowFactor = 1.5         // an upstream counts as slow if its latency exceeds the median by this factor
	minSpeed   = 1 / 16.     // leaves each upstream some requests, so that its latency can still be measured
	latencyTTL = time.Minute // an upstream without a report for this long is assumed to have the median latency
)

// loads holds the smoothed number of requests of each slot, and the latency of each upstream.
type loads struct {
	slots     map[slotKey]float64
	latencies map[string]latencyReport // by upstream id
}

// latencyReport is the last reported latency of an upstream.
type latencyReport struct {
	latency time.Duration
	at      time.Time
}

func newLoads() *loads {
	return &loads{slots: make(map[slotKey]float64), latencies: make(map[string]latencyReport)}
}

// speeds returns the upstreams as owners with relative speeds. The speed of an upstream is proportional to its
// concurrency, and is lower if the latency of the upstream exceeds slowFactor times the median.
func (l *loads) speeds(now time.Time, upstreams []capacity) []place.Owner {
	median := l.medianLatency(now, upstreams)
	owners := make([]place.Owner, len(upstreams))
	maxConcurrency := 1
	for _, u := range upstreams {
		maxConcurrency = max(maxConcurrency, u.concurrency)
	}
	for i, u := range upstreams {
		speed := float64(max(u.concurrency, 1)) / float64(maxConcurrency)
		if latency := l.latencyOf(now, u.id); float64(latency) > slowFactor*float64(median) && median > 0 {
			speed *= float64(median) / float64(latency)
		}
		owners[i] = place.Owner{Name: u.id, Speed: max(speed, minSpeed)}
	}
	return owners
}

// medianLatency returns the median of the known latencies, or 0 if none is known.
func (l *loads) medianLatency(now time.Time, upstreams []capacity) time.Duration {
	var latencies []time.Duration
	for _, u := range upstreams {
		if latency := l.latencyOf(now, u.id); latency > 0 {
			latencies = append(latencies, latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2]
}

// latencyOf returns the latency of an upstream, or 0 if there is no recent report.
func (l *loads) latencyOf(now time.Time, id string) time.Duration {
	report := l.latencies[id]
	if now.Sub(report.at) > latencyTTL {
		return 0
	}
	return report.latency
}

// capacity is the number of requests that an upstream serves at a time.
type capacity struct {
	id          string
	concurrency int
}

func (l *loads) record(now time.Time, reports []SlotLoads) {
	for _, report := range reports {
		if report.Latency > 0 {
			l.latencies[report.Upstream] = latencyReport{report.Latency, now}
		}
		for i, slot := range report.Slots[:min(len(report.Slots), len(report.Counts))] {
			l.slots[slotKey{report.Service, slot}] += float64(report.Counts[i])
		}
	}
}

// decay reduces the weight of old requests and deletes outdated latency reports.
func (l *loads) decay(now time.Time) {
	maps.DeleteFunc(l.latencies, func(_ string, report latencyReport) bool { return now.Sub(report.at) > latencyTTL })
	for key, load := range l.slots {
		if load *= loadDecay; load < 0.01 {
			delete(l.slots, key)
			continue
		}
		l.slots[key] = load
	}
}

// forService returns the loads of a service's slots. Each slot gets a small base load, so that slots without requests
// are spread evenly too.
func (l *loads) forService(service string, count int) []float64 {
	slotLoads := make([]float64, count)
	total := 0.0
	for i := range slotLoads {
		slotLoads[i] = l.slots[slotKey{service, i}]
		total += slotLoads[i]
	}
	base := max(total/float64(count)/10, 1)
	for i := range slotLoads {
		slotLoads[i] += base
	}
	return slotLoads
}

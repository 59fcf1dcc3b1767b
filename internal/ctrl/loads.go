package ctrl

import (
	"maps"
	"slices"
	"time"

	"lovagelink.example/lovagelink/pkg/place"
)

// loadDecay is the share of the former load that each report period keeps.
const loadDecay = 0.8

// slotKey names a slot of a service.
type slotKey struct {
	service string
	slot    int
}

// Bounds of the speed of an upstream.
const (
	slowFactor = 1.5         // times the usual that a request takes at an upstream that counts as slow
	leastSpeed = 1 / 16.     // keeps a little work at each upstream, so that its speed is known
	tookKept   = time.Minute // after which an upstream without work counts as usual again
)

// loads holds the smoothed number of requests of each slot, and how long upstreams take for one.
type loads struct {
	slots map[slotKey]float64
	took  map[string]tookReport // by upstream
}

// tookReport is how long an upstream takes for a request, as last reported.
type tookReport struct {
	took time.Duration
	at   time.Time
}

func newLoads() *loads {
	return &loads{slots: make(map[slotKey]float64), took: make(map[string]tookReport)}
}

// speeds returns upstreams as owners. One is slower than ordinary if it takes much longer than the usual for
// a request, and faster or slower as it has more or fewer slots than the others.
func (l *loads) speeds(now time.Time, upstreams []capable) []place.Owner {
	usual := l.usual(now, upstreams)
	owners := make([]place.Owner, len(upstreams))
	most := 1
	for _, u := range upstreams {
		most = max(most, u.slots)
	}
	for i, u := range upstreams {
		speed := float64(max(u.slots, 1)) / float64(most)
		if took := l.tookBy(now, u.id); float64(took) > slowFactor*float64(usual) && usual > 0 {
			speed *= float64(usual) / float64(took)
		}
		owners[i] = place.Owner{Name: u.id, Speed: max(speed, leastSpeed)}
	}
	return owners
}

// usual is the median of the times that are known.
func (l *loads) usual(now time.Time, upstreams []capable) time.Duration {
	var known []time.Duration
	for _, u := range upstreams {
		if took := l.tookBy(now, u.id); took > 0 {
			known = append(known, took)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// tookBy returns how long an upstream takes for a request, or 0 if that is not known.
func (l *loads) tookBy(now time.Time, id string) time.Duration {
	report := l.took[id]
	if now.Sub(report.at) > tookKept {
		return 0
	}
	return report.took
}

// capable is an upstream that can be given slots, with the number of requests that it does at a time.
type capable struct {
	id    string
	slots int
}

func (l *loads) add(now time.Time, reports []SlotLoads) {
	for _, report := range reports {
		if report.Latency > 0 {
			l.took[report.Upstream] = tookReport{report.Latency, now}
		}
		for i, slot := range report.Slots[:min(len(report.Slots), len(report.Counts))] {
			l.slots[slotKey{report.Service, slot}] += float64(report.Counts[i])
		}
	}
}

// decay lets old requests count less, and forgets old reports.
func (l *loads) decay(now time.Time) {
	maps.DeleteFunc(l.took, func(_ string, report tookReport) bool { return now.Sub(report.at) > tookKept })
	for key, load := range l.slots {
		if load *= loadDecay; load < 0.01 {
			delete(l.slots, key)
			continue
		}
		l.slots[key] = load
	}
}

// of returns the loads of a service's slots; an idle slot counts a little, so that slots without
// requests spread evenly too.
func (l *loads) of(service string, count int) []float64 {
	list := make([]float64, count)
	total := 0.0
	for i := range list {
		list[i] = l.slots[slotKey{service, i}]
		total += list[i]
	}
	base := max(total/float64(count)/10, 1)
	for i := range list {
		list[i] += base
	}
	return list
}

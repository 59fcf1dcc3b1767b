package keyed

import (
	"math"
	"slices"
	"time"
)

// Speeds are relative to the median upstream and bounded, since an upstream that seems much slower or faster than the
// others may only have received different requests.
const (
	minSpeed = 0.25
	maxSpeed = 2.0
	// newestWeight is the weight of a report of usualSamples requests in the average. One request alone tells little: its
	// work may be five times the usual.
	newestWeight = 0.3
	usualSamples = 10
)

// ServiceTime is what hosts have measured of an upstream.
type ServiceTime struct {
	Total   time.Duration `json:"total"`
	Samples int           `json:"samples"`
}

// Plus returns the measurements of both.
func (t ServiceTime) Plus(other ServiceTime) ServiceTime {
	return ServiceTime{t.Total + other.Total, t.Samples + other.Samples}
}

// ServiceTimes is the average service time of each upstream: the latency of a request that does not queue there.
type ServiceTimes struct {
	byID map[string]time.Duration // by id of the upstream
}

// NewServiceTimes returns an empty set of service times.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{byID: make(map[string]time.Duration)}
}

// Add adds measurements of an upstream to its average. Their weight grows with their number: a host of hundreds sees an
// upstream once in a while.
func (s *ServiceTimes) Add(id string, measured ServiceTime) {
	if measured.Samples <= 0 || measured.Total <= 0 {
		return
	}
	mean := measured.Total / time.Duration(measured.Samples)
	if s.byID[id] == 0 {
		s.byID[id] = mean
		return
	}
	weight := 1 - math.Pow(1-newestWeight, float64(measured.Samples)/usualSamples)
	s.byID[id] += time.Duration(weight * float64(mean-s.byID[id]))
}

// Forget removes the average of an upstream, for example when another instance has started under its id.
func (s *ServiceTimes) Forget(id string) { delete(s.byID, id) }

// median returns the median of the upstreams' service times, 0 if none has been measured.
func (s *ServiceTimes) median(ids []string) time.Duration {
	var times []time.Duration
	for _, id := range ids {
		if serviceTime := s.byID[id]; serviceTime > 0 {
			times = append(times, serviceTime)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// Of returns the speeds of the upstreams of one service relative to the median, 1 for an upstream without measurements,
// and the median service time, 0 if none has been measured.
func (s *ServiceTimes) Of(ids []string) (speeds map[string]float64, median time.Duration) {
	median = s.median(ids)
	speeds = make(map[string]float64, len(ids))
	for _, id := range ids {
		speeds[id] = 1
		if serviceTime := s.byID[id]; serviceTime > 0 {
			speeds[id] = min(max(float64(median)/float64(serviceTime), minSpeed), maxSpeed)
		}
	}
	return speeds, median
}

package keyed

import (
	"slices"
	"time"
)

// Speeds are relative to the median upstream and bounded, since an upstream that seems much slower or faster than the
// others may only have received different requests.
const (
	minSpeed = 0.25
	maxSpeed = 2.0
	// averagedSamples is the number of requests that the average stands for once there have been as many. One request
	// alone tells little: its work may be five times the usual.
	averagedSamples = 33
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
	byID map[string]averageTime // by id of the upstream
}

// averageTime is an average and the number of requests that it stands for, averagedSamples at most.
type averageTime struct {
	mean    time.Duration
	samples int
}

// NewServiceTimes returns an empty set of service times.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{byID: make(map[string]averageTime)}
}

// Add adds measurements of an upstream to its average. Their weight grows with their number: a host of hundreds sees an
// upstream once in a while.
func (s *ServiceTimes) Add(id string, measured ServiceTime) {
	if measured.Samples <= 0 || measured.Total <= 0 {
		return
	}
	average := s.byID[id]
	all := min(average.samples+measured.Samples, averagedSamples)
	weight := min(1, float64(measured.Samples)/float64(all))
	average.mean += time.Duration(weight * float64(measured.Total/time.Duration(measured.Samples)-average.mean))
	average.samples = all
	s.byID[id] = average
}

// Forget removes the average of an upstream, for example when another instance has started under its id.
func (s *ServiceTimes) Forget(id string) { delete(s.byID, id) }

// median returns the median of the upstreams' service times, 0 if none has been measured.
func (s *ServiceTimes) median(ids []string) time.Duration {
	var times []time.Duration
	for _, id := range ids {
		if serviceTime := s.byID[id].mean; serviceTime > 0 {
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
		if serviceTime := s.byID[id].mean; serviceTime > 0 {
			speeds[id] = min(max(float64(median)/float64(serviceTime), minSpeed), maxSpeed)
		}
	}
	return speeds, median
}

package keyed

import (
	"slices"
	"time"
)

// Bounds of the capacity of a slot: an upstream that seems much slower or faster than the others may only have had
// other requests.
const (
	leastSpeed  = 0.25
	mostSpeed   = 2.0
	speedWeight = 0.3 // of the newest word on it, of which each host gives one a second
)

// ServiceTimes is how long upstreams take for a request when nothing waits there.
type ServiceTimes struct {
	took map[string]time.Duration // by id
}

// NewServiceTimes returns speeds of which nothing is known.
func NewServiceTimes() *ServiceTimes { return &ServiceTimes{took: make(map[string]time.Duration)} }

// Add takes in how long an upstream took.
func (s *ServiceTimes) Add(id string, took time.Duration) {
	if s.took[id] == 0 {
		s.took[id] = took
		return
	}
	s.took[id] += time.Duration(speedWeight * float64(took-s.took[id]))
}

// Forget drops what is known of an upstream, as when another life has begun under its id.
func (s *ServiceTimes) Forget(id string) { delete(s.took, id) }

// median returns how long the median upstream takes, 0 if nothing is known.
func (s *ServiceTimes) median(ids []string) time.Duration {
	var known []time.Duration
	for _, id := range ids {
		if took := s.took[id]; took > 0 {
			known = append(known, took)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// Of returns the speeds of the upstreams of one service, 1 for the median and for those of which nothing is known, and
// how long the median one takes, 0 if that is not known either.
func (s *ServiceTimes) Of(ids []string) (speeds map[string]float64, median time.Duration) {
	median = s.median(ids)
	speeds = make(map[string]float64, len(ids))
	for _, id := range ids {
		speeds[id] = 1
		if took := s.took[id]; took > 0 {
			speeds[id] = min(max(float64(median)/float64(took), leastSpeed), mostSpeed)
		}
	}
	return speeds, median
}

package route

// Split distributes the requests of a route over its services in proportion to their weights, and as evenly as possible
// over time: each request goes to the service that is furthest below its share.
type Split struct {
	credit map[string]float64 // by service: requests due by its share, less those that it was picked for
}

// Pick returns the service for the next request. After any number of requests, the count of each service deviates from
// its share by less than the number of services. Pick ignores whether a service is overloaded: requests beyond its
// capacity are refused there, and don't spill over to other services.
func (s *Split) Pick(destinations []Destination) string {
	if len(destinations) == 1 {
		return destinations[0].Service
	}
	if s.credit == nil {
		s.credit = make(map[string]float64)
	}
	total := 0.0
	for _, destination := range destinations {
		total += destination.Weight
	}
	best := -1
	for i, destination := range destinations {
		s.credit[destination.Service] += destination.Weight / total
		if destination.Weight > 0 && (best < 0 || s.credit[destination.Service] > s.credit[destinations[best].Service]) {
			best = i
		}
	}
	s.credit[destinations[best].Service]--
	return destinations[best].Service
}

package route

// Split distributes the requests of a route over its services in proportion to their weights, each service as evenly
// as possible in time: it is given to the service that is furthest behind its share.
type Split struct {
	owed map[string]float64
}

// Pick returns the service of the next request. Over any run of requests each service is off its share by fewer requests
// than there are services, whether or not it can take them: work that does not fit is refused there and does not spill
// over.
func (s *Split) Pick(parts []Destination) string {
	if len(parts) == 1 {
		return parts[0].Service
	}
	if s.owed == nil {
		s.owed = make(map[string]float64)
	}
	total := 0.0
	for _, part := range parts {
		total += part.Weight
	}
	best := -1
	for i, part := range parts {
		s.owed[part.Service] += part.Weight / total
		if part.Weight > 0 && (best < 0 || s.owed[part.Service] > s.owed[parts[best].Service]) {
			best = i
		}
	}
	s.owed[parts[best].Service]--
	return parts[best].Service
}

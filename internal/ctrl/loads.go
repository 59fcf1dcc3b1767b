package ctrl

// loadDecay is the share of the former load that each report period keeps.
const loadDecay = 0.8

// slotKey names a slot of a service.
type slotKey struct {
	service string
	slot    int
}

// loads holds the smoothed number of requests of each slot.
type loads struct {
	slots map[slotKey]float64
}

func newLoads() *loads {
	return &loads{slots: make(map[slotKey]float64)}
}

func (l *loads) add(reports []SlotLoads) {
	for _, report := range reports {
		for i, slot := range report.Slots[:min(len(report.Slots), len(report.Counts))] {
			l.slots[slotKey{report.Service, slot}] += float64(report.Counts[i])
		}
	}
}

// decay lets old requests count less.
func (l *loads) decay() {
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

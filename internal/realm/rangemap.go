package realm

// rangeMapParts is the number of equal parts of the key space that a RangeMap replaces independently.
const rangeMapParts = 256

const keysPerPart = 65536 / rangeMapParts

// RangeMap holds the ranges of one service so that a change costs only the parts of the key space that it touches: a
// follower applies changes many times a second, and a service may have a thousand ranges. A RangeMap is immutable.
type RangeMap struct {
	parts [rangeMapParts]Ranges // sorted; a range that reaches over several parts is cut at their bounds
}

// With returns the map with all replacements inserted, which are sorted and don't overlap. A nil map is empty.
func (m *RangeMap) With(replacements Ranges) *RangeMap {
	next := &RangeMap{}
	if m != nil {
		next.parts = m.parts
	}
	byPart := make(map[int]Ranges)
	for _, r := range replacements {
		for part := int(r.From) / keysPerPart; part <= int(r.To)/keysPerPart; part++ {
			from, to := part*keysPerPart, (part+1)*keysPerPart-1
			byPart[part] = append(byPart[part], r.within(max(from, int(r.From)), min(to, int(r.To))))
		}
	}
	for part, within := range byPart {
		next.parts[part] = next.parts[part].PutAll(within)
	}
	return next
}

// At returns the range that contains a key, cut to the key's part of the key space, or nil if the key has no owner.
func (m *RangeMap) At(key uint16) *Range {
	if m == nil {
		return nil
	}
	return m.parts[int(key)/keysPerPart].At(key)
}

// Ranges returns all ranges, sorted and merged.
func (m *RangeMap) Ranges() Ranges {
	if m == nil {
		return nil
	}
	var all Ranges
	for _, part := range m.parts {
		all = append(all, part...)
	}
	return all.merged()
}

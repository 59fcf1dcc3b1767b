package realm

import "slices"

// replacements collects the ranges that one command replaces. Inserting them together costs one pass over the ranges of
// a service, and inserting them one by one a pass for each: the first command of a deployment assigns a thousand.
type replacements struct {
	state     *State
	byService map[string]Ranges // in the order of the command; no two of a service overlap
}

func newReplacements(state *State) *replacements {
	return &replacements{state: state, byService: make(map[string]Ranges)}
}

// add adds a range, which overlaps none that was added since the last flush.
func (p *replacements) add(service string, r Range) {
	p.byService[service] = append(p.byService[service], r)
}

// flushIfOverlapping inserts the collected ranges if one of them shares a key with keys, so that the next part of the
// command finds what the earlier parts have changed.
func (p *replacements) flushIfOverlapping(service string, keys KeyRange) {
	if slices.ContainsFunc(p.byService[service], func(r Range) bool { return r.Overlaps(keys) }) {
		p.flush()
	}
}

// flush inserts the collected ranges.
func (p *replacements) flush() {
	for service, ranges := range p.byService {
		if len(ranges) == 0 {
			continue
		}
		slices.SortFunc(ranges, func(a, b Range) int { return int(a.From) - int(b.From) })
		ownership := p.state.Ownership[service]
		ownership.Ranges = ownership.Ranges.PutAll(ranges)
		ownership.Changed = p.state.Index
		delete(p.byService, service)
	}
}

package realm

import "slices"

// maxGoneMirrored is the number of upstreams that have gone which a mirrored state keeps. Updates don't say when the log
// forgets one.
const maxGoneMirrored = 256

// ApplyUpdate brings a store that is no replica of the log to the state of an update. An update that is not newer changes
// nothing. After ErrOtherConfig the store needs an update from index 0.
func (s *Store) ApplyUpdate(update Update) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if update.Index <= s.state.Index {
		return nil
	}
	config, err := update.NextConfig(s.state.Config)
	if err != nil {
		return err
	}
	next := s.state
	next.Index = update.Index
	if config != nil {
		next.setConfig(config, nil) // owners stay: the log may keep them, and no update says when it withdraws them
		if update.ConfigIndex > 0 {
			next.ConfigIndex = update.ConfigIndex
		}
	}
	for _, u := range update.Upstreams {
		next.Upstreams[u.ID] = &u
	}
	next.forgetOldest()
	for service, changed := range update.Ranges {
		ownership := next.Ownership[service]
		if ownership == nil {
			ownership = &Ownership{}
			next.Ownership[service] = ownership
		}
		ownership.Ranges = ownership.Ranges.PutAll(changed)
		ownership.Changed = update.Index
	}
	s.keepConfig()
	s.notify()
	return nil
}

// Index returns the log index of the state.
func (s *Store) Index() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Index
}

// forgetOldest removes the upstreams that have gone the longest ago, of more than maxGoneMirrored.
func (s *State) forgetOldest() {
	var gone []*Upstream
	for _, u := range s.Upstreams {
		if u.Phase == Gone {
			gone = append(gone, u)
		}
	}
	if len(gone) <= maxGoneMirrored {
		return
	}
	slices.SortFunc(gone, func(a, b *Upstream) int { return int(b.Changed) - int(a.Changed) })
	for _, u := range gone[maxGoneMirrored:] {
		delete(s.Upstreams, u.ID)
	}
}

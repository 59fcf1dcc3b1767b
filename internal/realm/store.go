package realm

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"lovagelink.example/lovagelink/internal/route"
)

// Update holds the parts of the state that have changed since a log index.
type Update struct {
	Index     uint64            `json:"index"`
	Config    *route.Config     `json:"config,omitempty"`
	Upstreams []Upstream        `json:"upstreams,omitempty"`
	Ranges    map[string]Ranges `json:"ranges,omitempty"` // changed ranges by service, without their handovers
}

// Store is the state machine of a replica, which other hosts can follow.
type Store struct {
	mu      sync.RWMutex
	state   *State
	changed chan struct{}
}

// NewStore returns a store with an empty state.
func NewStore() *Store {
	return &Store{state: New(), changed: make(chan struct{})}
}

// Read calls use with the current state, which use must neither retain nor change.
func (s *Store) Read(use func(*State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	use(s.state)
}

// Apply applies the committed command at a log index and returns its encoded result.
func (s *Store) Apply(index uint64, data []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.state.Apply(index, data)
	s.notify()
	return result
}

// Snapshot returns the encoded state.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return json.Marshal(s.state)
}

// Restore replaces the state with a snapshot.
func (s *Store) Restore(_ uint64, data []byte) error {
	next := New()
	if err := json.Unmarshal(data, next); err != nil {
		return fmt.Errorf("decode snapshot of the replicated state: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = next
	s.notify()
	return nil
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Await waits until the index of the state is greater than the given index, or ctx is done.
func (s *Store) Await(ctx context.Context, index uint64) {
	for {
		s.mu.RLock()
		at, changed := s.state.Index, s.changed
		s.mu.RUnlock()
		if at > index {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Since returns the parts of the state that have changed after a log index.
func (s *Store) Since(index uint64) Update {
	s.mu.RLock()
	defer s.mu.RUnlock()
	state := s.state
	update := Update{Index: state.Index, Ranges: make(map[string]Ranges)}
	if state.Config != nil && state.ConfigIndex > index {
		update.Config = state.Config
	}
	for _, u := range state.Sorted() {
		if u.Changed > index {
			update.Upstreams = append(update.Upstreams, *u)
		}
	}
	for name, ownership := range state.Ownership {
		if ownership.Changed <= index {
			continue
		}
		for _, r := range ownership.Ranges {
			if r.Changed > index {
				r.Handover = "" // for the next owner only
				update.Ranges[name] = append(update.Ranges[name], r)
			}
		}
	}
	return update
}

package realm

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"lovagelink.example/lovagelink/internal/route"
)

// Update is what has changed since a position of the log.
type Update struct {
	Index     uint64            `json:"index"`
	Config    *route.Config     `json:"config,omitempty"`
	Upstreams []Upstream        `json:"upstreams,omitempty"`
	Ranges    map[string]Ranges `json:"ranges,omitempty"` // by service, those that have changed; without handovers
}

// Store is the state machine of a replica, which others can follow.
type Store struct {
	mu      sync.RWMutex
	state   *State
	changed chan struct{}
}

// NewStore returns a feed with an empty state.
func NewStore() *Store {
	return &Store{state: New(), changed: make(chan struct{})}
}

// Read calls use with the present state, which it must neither keep nor change.
func (f *Store) Read(use func(*State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	use(f.state)
}

// Apply carries out a chosen command.
func (f *Store) Apply(index uint64, data []byte) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := f.state.Apply(index, data)
	f.notify()
	return answer
}

// Snapshot writes the whole state.
func (f *Store) Snapshot() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return json.Marshal(f.state)
}

// Restore replaces the state by a snapshot.
func (f *Store) Restore(_ uint64, data []byte) error {
	next := New()
	if err := json.Unmarshal(data, next); err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = next
	f.notify()
	return nil
}

func (f *Store) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Await waits until the state lies behind an index or ctx ends.
func (f *Store) Await(ctx context.Context, index uint64) {
	for {
		f.mu.RLock()
		at, changed := f.state.Index, f.changed
		f.mu.RUnlock()
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

// Since returns what has changed behind an index.
func (f *Store) Since(index uint64) Update {
	f.mu.RLock()
	defer f.mu.RUnlock()
	s := f.state
	update := Update{Index: s.Index, Ranges: make(map[string]Ranges)}
	if s.Config != nil && s.ConfigIndex > index {
		update.Config = s.Config
	}
	for _, u := range s.Sorted() {
		if u.Changed > index {
			update.Upstreams = append(update.Upstreams, *u)
		}
	}
	for name, owned := range s.Ownership {
		if owned.Changed <= index {
			continue
		}
		for _, one := range owned.Ranges {
			if one.Changed > index {
				one.Handover = "" // for the next owner only
				update.Ranges[name] = append(update.Ranges[name], one)
			}
		}
	}
	return update
}

package realm

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"

	"lovagelink.example/lovagelink/internal/route"
)

// Update holds the parts of the state that have changed since a log index.
type Update struct {
	Index  uint64        `json:"index"`
	Config *route.Config `json:"config,omitempty"` // the whole configuration
	// ConfigChange is sent in place of Config to a follower whose configuration is still known here.
	ConfigChange *route.Change     `json:"config-change,omitempty"`
	ConfigIndex  uint64            `json:"config-index,omitempty"` // log index at which the configuration was accepted
	Upstreams    []Upstream        `json:"upstreams,omitempty"`
	Ranges       map[string]Ranges `json:"ranges,omitempty"` // changed ranges by service, without their handovers
}

// Store is the state machine of a replica, which other hosts can follow.
type Store struct {
	mu      sync.RWMutex
	state   *State
	configs []configAt // the latest configurations, oldest first; replaced, never changed in place
	changed chan struct{}
}

// ErrOtherConfig is returned for an update that changes another configuration than the follower's.
var ErrOtherConfig = errors.New("the update changes another configuration than the one in force here")

// NextConfig returns the configuration of an update for a follower with the given one, or nil if that is as new. The
// error is ErrOtherConfig if the follower needs the whole state.
func (u Update) NextConfig(current *route.Config) (*route.Config, error) {
	config := u.Config
	if u.ConfigChange != nil {
		if config = u.ConfigChange.Apply(current); config == nil {
			return nil, ErrOtherConfig
		}
	}
	if config == nil || current != nil && config.Version <= current.Version {
		return nil, nil
	}
	return config, nil
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
	s.keepConfig()
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
	s.state, s.configs = next, nil
	s.keepConfig()
	s.notify()
	return nil
}

// keepConfig adds the configuration in force to the kept ones if it is new.
func (s *Store) keepConfig() {
	n := len(s.configs)
	if s.state.Config == nil || n > 0 && s.configs[n-1].index == s.state.ConfigIndex {
		return
	}
	kept := s.configs[max(0, n-maxPastConfigs+1):]
	s.configs = append(slices.Clone(kept), configAt{s.state.ConfigIndex, s.state.Config})
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

// Freeze returns the current state for followers. Later commands don't change it.
func (s *Store) Freeze() *Frozen {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return &Frozen{state: s.state.Clone(), configs: s.configs}
}

// Since returns the parts of the state that have changed after a log index.
func (s *Store) Since(index uint64) Update { return s.Freeze().Since(index) }

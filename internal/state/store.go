package state

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"lovagelink.example/lovagelink/internal/event"
)

// retainedEntries is the number of recent commands that remain when a store discards older ones. Followers that lag by
// no more than that need no snapshot.
const retainedEntries = 2048

// ErrDiverged reports that a store differs from the store that it follows.
var ErrDiverged = errors.New("state has diverged from the state that it follows")

// Entry is one command with its log index.
type Entry struct {
	Index uint64 `json:"index"`
	Data  []byte `json:"data"`
}

// Batch is the update that a follower receives: the commands after its index, or a complete snapshot.
type Batch struct {
	Entries  []Entry `json:"entries,omitempty"`
	Snapshot []byte  `json:"snapshot,omitempty"`
	Index    uint64  `json:"index"`
	Digest   uint64  `json:"digest"`

	Stamp event.Stamp `json:"stamp"` // logical time of the batch; later events of the follower get a higher stamp
}

// Store is the local replica of the replicated state; other hosts can follow it. On a host with a replica of the
// control log, the log applies commands to the store; on other hosts, the store follows another store. Its index never
// decreases.
type Store struct {
	mu        sync.RWMutex
	state     *State
	baseIndex uint64 // index of the last entry before entries[0]
	entries   []Entry
	changed   chan struct{}
}

// NewStore returns a store with an empty state.
func NewStore() *Store {
	return &Store{state: New(), changed: make(chan struct{})}
}

// Read calls read with the current state, which read must neither retain nor modify.
func (s *Store) Read(read func(*State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	read(s.state)
}

// Index returns the index of the last applied command.
func (s *Store) Index() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Index
}

// Changed returns a channel that is closed at the next change of the state.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Await waits until the store has applied an index or ctx ends.
func (s *Store) Await(ctx context.Context, index uint64) error {
	for {
		changed := s.Changed()
		if s.Index() >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Apply applies a chosen command, unless the store has already received the command from another store.
func (s *Store) Apply(index uint64, data []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.state.Index {
		return nil
	}
	return s.applyLocked(Entry{Index: index, Data: data})
}

func (s *Store) applyLocked(entry Entry) []byte {
	result := s.state.Apply(entry.Index, entry.Data)
	s.entries = append(s.entries, entry)
	if excess := len(s.entries) - retainedEntries; excess > retainedEntries {
		s.baseIndex = s.entries[excess-1].Index
		s.entries = append([]Entry(nil), s.entries[excess:]...)
	}
	s.notify()
	return result
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot encodes the complete state.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return json.Marshal(s.state)
}

// Restore replaces the state with a snapshot, unless the snapshot is older than the state.
func (s *Store) Restore(_ uint64, data []byte) error {
	next, err := Parse(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Index >= s.state.Index {
		s.replace(next)
	}
	return nil
}

func (s *Store) replace(next *State) {
	s.state = next
	s.baseIndex = next.Index
	s.entries = nil
	s.notify()
}

// Since returns the commands after an index, or a snapshot if these commands are no longer retained.
func (s *Store) Since(index uint64) (Batch, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	batch := Batch{Index: s.state.Index, Digest: s.state.Digest}
	if index >= s.state.Index {
		return batch, nil
	}
	if index < s.baseIndex {
		data, err := json.Marshal(s.state)
		batch.Snapshot = data
		return batch, err
	}
	for _, entry := range s.entries {
		if entry.Index > index {
			batch.Entries = append(batch.Entries, entry)
		}
	}
	return batch, nil
}

// ApplyBatch applies a batch from another store, and skips entries and snapshots that are not newer than the state. It
// returns ErrDiverged if the digests of the two stores differ at the same index.
func (s *Store) ApplyBatch(batch Batch) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if batch.Snapshot != nil {
		return s.applySnapshot(batch.Snapshot)
	}
	for _, entry := range batch.Entries {
		if entry.Index > s.state.Index {
			s.applyLocked(entry)
		}
	}
	if s.state.Index == batch.Index && s.state.Digest != batch.Digest {
		return fmt.Errorf("%w at index %d", ErrDiverged, batch.Index)
	}
	return nil
}

func (s *Store) applySnapshot(data []byte) error {
	next, err := Parse(data)
	if err != nil {
		return err
	}
	if next.Index > s.state.Index {
		s.replace(next)
	}
	return nil
}

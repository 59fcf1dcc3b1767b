package state

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"lovagelink.example/lovagelink/internal/event"
)

// keptEntries is how many commands a feed keeps for followers that are a little behind.
const keptEntries = 2048

// ErrDiverged reports that a copy of the state differs from the one that it follows.
var ErrDiverged = errors.New("copy of the state has diverged")

// Entry is one command at its log position.
type Entry struct {
	Index uint64 `json:"index"`
	Data  []byte `json:"data"`
}

// Batch is what a follower gets: commands behind its index, or a whole snapshot.
type Batch struct {
	Entries  []Entry `json:"entries,omitempty"`
	Snapshot []byte  `json:"snapshot,omitempty"`
	Index    uint64  `json:"index"`
	Digest   uint64  `json:"digest"`

	Stamp event.Stamp `json:"stamp"` // of the time line, so that what follows comes later in it
}

// Store is a copy of the state that others can follow. On a replica the log drives it; elsewhere it
// follows another feed. It only ever moves forward.
type Store struct {
	mu      sync.RWMutex
	state   *State
	base    uint64 // the index before the first kept entry
	entries []Entry
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

// Index returns the log position of the state.
func (f *Store) Index() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state.Index
}

// Changed returns a channel that closes at the next change.
func (f *Store) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// Await waits until the state has reached an index.
func (f *Store) Await(ctx context.Context, index uint64) error {
	for {
		changed := f.Changed()
		if f.Index() >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Apply carries out a chosen command, unless another feed has already told of it.
func (f *Store) Apply(index uint64, data []byte) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if index <= f.state.Index {
		return nil
	}
	return f.applyLocked(Entry{Index: index, Data: data})
}

func (f *Store) applyLocked(entry Entry) []byte {
	answer := f.state.Apply(entry.Index, entry.Data)
	f.entries = append(f.entries, entry)
	if over := len(f.entries) - keptEntries; over > keptEntries {
		f.base = f.entries[over-1].Index
		f.entries = append([]Entry(nil), f.entries[over:]...)
	}
	f.notify()
	return answer
}

func (f *Store) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Snapshot writes the whole state.
func (f *Store) Snapshot() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return json.Marshal(f.state)
}

// Restore replaces the state by a snapshot.
func (f *Store) Restore(_ uint64, data []byte) error {
	next, err := Parse(data)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Index >= f.state.Index {
		f.replace(next)
	}
	return nil
}

func (f *Store) replace(next *State) {
	f.state = next
	f.base = next.Index
	f.entries = nil
	f.notify()
}

// Since returns what a follower at an index lacks.
func (f *Store) Since(index uint64) (Batch, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	batch := Batch{Index: f.state.Index, Digest: f.state.Digest}
	if index >= f.state.Index {
		return batch, nil
	}
	if index < f.base {
		data, err := json.Marshal(f.state)
		batch.Snapshot = data
		return batch, err
	}
	for _, entry := range f.entries {
		if entry.Index > index {
			batch.Entries = append(batch.Entries, entry)
		}
	}
	return batch, nil
}

// ApplyBatch takes in a batch from another feed; a batch that is older changes nothing.
func (f *Store) ApplyBatch(batch Batch) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if batch.Snapshot != nil {
		return f.followSnapshot(batch.Snapshot)
	}
	for _, entry := range batch.Entries {
		if entry.Index > f.state.Index {
			f.applyLocked(entry)
		}
	}
	if f.state.Index == batch.Index && f.state.Digest != batch.Digest {
		return fmt.Errorf("%w at index %d", ErrDiverged, batch.Index)
	}
	return nil
}

func (f *Store) followSnapshot(data []byte) error {
	next, err := Parse(data)
	if err != nil {
		return err
	}
	if next.Index > f.state.Index {
		f.replace(next)
	}
	return nil
}

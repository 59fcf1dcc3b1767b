package core

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/pack"
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/realm"
)

const (
	// minPackBytes is the size from which an update is compressed.
	minPackBytes = 1 << 10
	// publishCheckInterval is the time between two checks which store of this host is the newest.
	publishCheckInterval = 200 * time.Millisecond
	// maxUpdateBytes is the largest update that a follower accepts.
	maxUpdateBytes = 64 << 20
)

// EncodedUpdate is an update as it is sent to followers: as JSON, compressed if it is large.
type EncodedUpdate struct {
	Plain  json.RawMessage `json:"plain,omitempty"`
	Packed []byte          `json:"packed,omitempty"`
}

func encodeUpdate(update realm.Update) (EncodedUpdate, error) {
	data, err := json.Marshal(update)
	if err != nil || len(data) < minPackBytes {
		return EncodedUpdate{Plain: data}, err
	}
	packed, err := pack.Pack(data)
	return EncodedUpdate{Packed: packed}, err
}

func (e EncodedUpdate) decode() (update realm.Update, err error) {
	data := []byte(e.Plain)
	if len(e.Packed) > 0 {
		if data, err = pack.Unpack(e.Packed, maxUpdateBytes); err != nil {
			return update, err
		}
	}
	return update, json.Unmarshal(data, &update)
}

func (e EncodedUpdate) size() int { return len(e.Plain) + len(e.Packed) }

// feed publishes the state of a store to the hosts that follow it. Between two publications all followers get the same
// state, so an update is searched and encoded once for all that have followed up to the same index, however many they
// are.
type feed struct {
	mu        sync.Mutex
	published *realm.Frozen
	updates   map[uint64]EncodedUpdate // of the published state, by the index that the follower has reached
	changed   chan struct{}            // closed and replaced when a state is published
}

func newFeed() *feed {
	return &feed{published: realm.NewStore().Freeze(), updates: make(map[uint64]EncodedUpdate), changed: make(chan struct{})}
}

// publish makes the current state of a store available to followers.
func (f *feed) publish(store *realm.Store) {
	if store.Index() <= f.index() {
		return // also that of a replica which was opened again and has yet to catch up
	}
	next := store.Freeze()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.published, f.updates = next, make(map[uint64]EncodedUpdate)
	close(f.changed)
	f.changed = make(chan struct{})
}

// index returns the index of the published state.
func (f *feed) index() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.published.Index()
}

// await waits until a state after the given index is published, or ctx is done.
func (f *feed) await(ctx context.Context, index uint64) {
	for {
		f.mu.Lock()
		published, changed := f.published.Index(), f.changed
		f.mu.Unlock()
		if published > index {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// since returns the update from an index to the published state.
func (f *feed) since(index uint64) (EncodedUpdate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if update, ok := f.updates[index]; ok {
		return update, nil
	}
	update, err := encodeUpdate(f.published.Since(index))
	if err == nil {
		f.updates[index] = update
	}
	return update, err
}

// wholeSince returns the update from an index for a follower that does not read differences of configurations.
func (f *feed) wholeSince(index uint64) realm.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	update := f.published.Since(index)
	if update.ConfigChange != nil {
		update.Config, update.ConfigChange = f.published.Config(), nil
	}
	return update
}

// publishUpdates publishes each change of the state, but not more often than publishIntervalFor allows.
func (h *Host) publishUpdates() error {
	ctx := h.tomb.Context(context.Background())
	for h.tomb.Alive() {
		awaitCtx, cancel := context.WithTimeout(ctx, publishCheckInterval)
		h.newestStore().Await(awaitCtx, h.feed.index())
		cancel()
		h.feed.publish(h.newestStore())
		pause.For(ctx, publishIntervalFor(h.knownEntryHosts(time.Now())))
	}
	return nil
}

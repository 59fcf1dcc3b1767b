package state

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func applyCommand(t interface{ Fatal(...any) }, store *Store, index uint64, c Command) AcceptResult {
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var accepted AcceptResult
	if result := store.Apply(index, data); result != nil {
		if err := json.Unmarshal(result, &accepted); err != nil {
			t.Fatal(err)
		}
	}
	return accepted
}

func configText(slots int) string { return fmt.Sprintf(benchConfig, slots) }

// Of two configurations with the same expected version only the first is accepted. A retry gets the result of the first
// attempt, even if the configuration has changed since.
func TestAcceptRaces(t *testing.T) {
	is := is.New(t)
	store := NewStore()
	first := applyCommand(t, store, 1, Command{AcceptConfig: &AcceptConfig{RequestID: "a", ConfigText: configText(8)}})
	second := applyCommand(t, store, 2, Command{AcceptConfig: &AcceptConfig{RequestID: "b", ConfigText: configText(8)}})
	is.Equal(first.ConfigVersion, uint64(1))
	is.True(strings.Contains(second.Refused, "expected version 0 but 1 is accepted"))
	third := applyCommand(t, store, 3, Command{AcceptConfig: &AcceptConfig{RequestID: "c", ExpectedVersion: 1, ConfigText: configText(8) + "# third\n"}})
	is.Equal(third.ConfigVersion, uint64(2))
	is.Equal(applyCommand(t, store, 4, Command{AcceptConfig: &AcceptConfig{RequestID: "a", ConfigText: configText(8)}}), first)
	store.Read(func(s *State) { is.Equal(s.ConfigVersion, uint64(2)) })
	other := applyCommand(t, store, 5, Command{AcceptConfig: &AcceptConfig{RequestID: "d", ExpectedVersion: 2, ConfigText: configText(16)}})
	is.True(strings.Contains(other.Refused, "can't change"))
}

// A command whose expected epoch is outdated changes nothing.
func TestOutdatedEpochs(t *testing.T) {
	is := is.New(t)
	store := storeWithSlots(16)
	index := store.Index()
	slot := func() (slot Slot) {
		store.Read(func(s *State) { slot = s.Tables["plan"].Slots[3] })
		return slot
	}
	before := slot()
	applyCommand(t, store, index+1, Command{SlotAssignments: []SlotAssignment{{Service: "plan", Slot: 3, ExpectedEpoch: before.Epoch - 1, Owner: ""}}})
	is.Equal(slot(), before)
	applyCommand(t, store, index+2, Command{MarkLost: &MarkLost{Upstream: "plan-0", ExpectedEpoch: 99}})
	is.Equal(slot(), before)
	applyCommand(t, store, index+3, Command{MarkLost: &MarkLost{Upstream: "plan-0", ExpectedEpoch: 0}})
	is.Equal(slot(), Slot{Epoch: index + 3})
	applyCommand(t, store, index+4, Command{SlotAssignments: []SlotAssignment{{Service: "plan", Slot: 3, ExpectedEpoch: index + 3, Owner: "plan-0"}}})
	is.Equal(slot().Owner, "") // a lost upstream is assigned no slots
}

// Epochs never decrease, whatever commands are applied. A follower that receives batches or snapshots at arbitrary
// points ends with the same state as the store that it follows.
func TestFollowersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, follower := storeWithSlots(16), NewStore()
		index := leader.Index()
		epochs := make([]uint64, 16)
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			index += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
			slot := rapid.IntRange(0, 15).Draw(t, "slot")
			owner := fmt.Sprint("plan-", rapid.IntRange(0, 2).Draw(t, "owner"))
			epoch := uint64(rapid.IntRange(0, int(index)).Draw(t, "epoch"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				applyCommand(t, leader, index, Command{SlotAssignments: []SlotAssignment{{Service: "plan", Slot: slot, ExpectedEpoch: epoch, Owner: owner}}})
			case 1:
				applyCommand(t, leader, index, Command{MarkLost: &MarkLost{Upstream: owner, ExpectedEpoch: epoch}})
			case 2:
				applyCommand(t, leader, index, Command{Join: &Join{Upstream: Announced{ID: owner, Service: "plan"}}})
			case 3:
				applyCommand(t, leader, index, Command{DispatcherAssignments: []DispatcherAssignment{{Upstream: owner, ExpectedEpoch: epoch, Host: "h"}}})
			}
			leader.Read(func(s *State) {
				for i, slot := range s.Tables["plan"].Slots {
					if slot.Epoch < epochs[i] {
						t.Fatalf("epoch of slot %d fell from %d to %d", i, epochs[i], slot.Epoch)
					}
					epochs[i] = slot.Epoch
				}
				checkIndex(t, s)
			})
			if rapid.Bool().Draw(t, "follow") {
				batch, err := leader.Since(follower.Index())
				if err != nil || follower.ApplyBatch(batch) != nil {
					t.Fatal("follower has diverged")
				}
			}
		}
		batch, err := leader.Since(follower.Index())
		if err != nil || follower.ApplyBatch(batch) != nil {
			t.Fatal("follower has diverged")
		}
		follower.Read(func(s *State) { checkIndex(t, s) })
		leaderSnapshot, _ := leader.Snapshot()
		followerSnapshot, _ := follower.Snapshot()
		if string(leaderSnapshot) != string(followerSnapshot) {
			t.Fatalf("states differ:\n%s\n%s", leaderSnapshot, followerSnapshot)
		}
	})
}

// checkIndex compares the index of slots by owner with a scan of all slots.
func checkIndex(t *rapid.T, s *State) {
	table := s.Tables["plan"]
	if table == nil {
		return
	}
	scanned := make(map[string]int)
	for _, slot := range table.Slots {
		scanned[slot.Owner]++
	}
	counted := maps.Collect(table.Counts())
	if !maps.Equal(scanned, counted) {
		t.Fatalf("owners are %v, by the index %v", scanned, counted)
	}
	for owner := range counted {
		for number, slot := range table.SlotsOf(owner) {
			if slot != table.Slots[number] || slot.Owner != owner {
				t.Fatalf("slot %d of %s is %v by the index", number, owner, slot)
			}
		}
	}
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"accept":{"request-id":"a","body":"x"}}`))
	f.Add([]byte(`{"assign":[{"service":"plan","slot":-1}]}`))
	f.Add([]byte(`{"move":[{"service":"plan","slot":99,"to":"plan-0"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		store := storeWithSlots(4)
		store.Apply(store.Index()+1, data)
		snapshot, err := store.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(snapshot); err != nil {
			t.Fatalf("state can't be read back: %v", err)
		}
	})
}

package paxos

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/pkg/walog"
)

// A folder keeps its identity, and one of another host is refused.
func TestFolderBelongsToOneHost(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	first, _, err := openStore("a", folder)
	is.NoErr(err)
	is.NoErr(first.log.Close())
	again, _, err := openStore("a", folder)
	is.NoErr(err)
	is.NoErr(again.log.Close())
	is.Equal(again.id, first.id)
	_, _, err = openStore("b", folder)
	is.True(errors.Is(err, ErrForeignFolder))
}

// Whatever records and snapshot a disk holds, they are refused or read, and what is read is written alike.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"index":3,"members":[{"name":"a"}]}`), []byte(`{"promise":{"round":3,"name":"a"}}`))
	f.Add([]byte(nil), []byte(`{"entry":{"index":18446744073709551615}}`))
	f.Fuzz(func(t *testing.T, snapshot, one []byte) {
		found, err := parse(walog.Content{Snapshot: snapshot, Records: [][]byte{one}})
		if err != nil {
			return
		}
		records, err := encodeRecords(&found.promised, found.entries)
		if err != nil {
			t.Fatal(err)
		}
		again, err := parse(walog.Content{Records: records})
		if err != nil || again.promised != found.promised || len(again.entries) != len(found.entries) {
			t.Fatalf("%+v became %+v, %v", found, again, err)
		}
	})
}

// A replica that is started again knows what it knew to be chosen, without a word from the others.
func TestRestartKnowsWhatWasChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, "a", "b", "c")
		g.timing.SnapshotEvery = 1 << 20 // no snapshot comes to its help
		defer g.stopAll()
		time.Sleep(3 * time.Second) // until a leader is found
		for i := range 20 {
			is.True(tryPropose(g, fmt.Sprint(i)) || tryPropose(g, fmt.Sprint(i)))
		}
		time.Sleep(time.Second)
		before := g.node("b").Status(time.Now()).Commit
		g.stopAll()
		g.start("b")
		// The last write was that of the newest entry, and went with what the message before it had told to be chosen.
		is.True(before > 20)
		is.True(g.node("b").Status(time.Now()).Commit >= before-2)
		is.True(len(g.books["b"].all()) >= 20-2)
	})
}

// A replica with an emptied folder counts as whole only once it votes again: until then a second one must not be taken
// down.
func TestCopyIsRepairedBeforeItCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		g.propose("first")
		g.awaitMembers()
		leader := g.awaitLeader()
		name := g.names[0]
		if name == leader.name {
			name = g.names[1]
		}
		await := func(want ReplicaState) {
			t.Helper()
			for leader.ReplicaStates(time.Now())[name] != want {
				if !leader.Status(time.Now()).Leading {
					t.Fatal("another one leads")
				}
				time.Sleep(time.Millisecond)
			}
		}
		await(ReplicaInSync)
		if leader.ReplicaStates(time.Now())[leader.name] != ReplicaInSync {
			t.Fatal("the leader does not count as whole")
		}
		g.stop(name)
		await(ReplicaUnresponsive)
		g.wipe(name)
		g.start(name)
		await(ReplicaCatchingUp)
		if g.allVote(leader.Status(time.Now()).Members) {
			t.Fatal("it is under repair though it votes")
		}
		await(ReplicaInSync)
		if !g.allVote(leader.Status(time.Now()).Members) {
			t.Fatal("it counts as whole without a vote")
		}
		for _, other := range g.names {
			if r := g.node(other); r != leader && r.ReplicaStates(time.Now())[leader.name] != ReplicaUnknown {
				t.Fatal("a replica that does not lead claims to know the others' copies")
			}
		}
	})
}

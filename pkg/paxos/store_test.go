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

// A folder must keep its identity when it is opened again, and be refused to another host: a replica with the identity
// of another would vote in its place.
func TestFolderBelongsToOneHost(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	first, _, err := openStore("a", folder)
	is.NoErr(err)
	is.NoErr(first.log.Close())
	reopened, _, err := openStore("a", folder)
	is.NoErr(err)
	is.NoErr(reopened.log.Close())
	is.Equal(reopened.id, first.id)
	_, _, err = openStore("b", folder)
	is.True(errors.Is(err, ErrForeignFolder))
}

// The content of a disk, whatever it is, must be refused or decoded; decoded state must survive being encoded and
// decoded again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"index":3,"members":[{"name":"a"}]}`), []byte(`{"promise":{"round":3,"name":"a"}}`))
	f.Add([]byte(nil), []byte(`{"entry":{"index":18446744073709551615}}`))
	f.Fuzz(func(t *testing.T, snapshot, data []byte) {
		state, err := parse(walog.Content{Snapshot: snapshot, Records: [][]byte{data}})
		if err != nil {
			return
		}
		records, err := encodeRecords(&state.promised, state.entries)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := parse(walog.Content{Records: records})
		if err != nil || reparsed.promised != state.promised || len(reparsed.entries) != len(state.entries) {
			t.Fatalf("%+v became %+v, %v", state, reparsed, err)
		}
	})
}

// A restarted replica must restore the commit index from its disk, and not wait until the others send the log again.
func TestRestartKnowsWhatWasChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a", "b", "c")
		c.timing.SnapshotEvery = 1 << 20 // the state must come from the log alone
		defer c.stopAll()
		time.Sleep(3 * time.Second) // until a leader is elected
		for i := range 20 {
			is.True(tryPropose(c, fmt.Sprint(i)) || tryPropose(c, fmt.Sprint(i)))
		}
		time.Sleep(time.Second)
		before := c.running("b").Status(time.Now()).Commit
		c.stopAll()
		c.start("b")
		// The newest entry was written last, with the commit index known from the message before it.
		is.True(before > 20)
		is.True(c.running("b").Status(time.Now()).Commit >= before-2)
		is.True(len(c.lists["b"].all()) >= 20-2)
	})
}

// A replica with an empty disk must be reported as catching up until it votes again: a second replica that is stopped
// earlier would stop the log.
func TestWipedReplicaVotesBeforeInSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		c.propose("first")
		c.awaitMembers()
		leader := c.awaitLeader()
		name := c.names[0]
		if name == leader.name {
			name = c.names[1]
		}
		await := func(want ReplicaState) {
			t.Helper()
			for leader.ReplicaStates(time.Now())[name] != want {
				if !leader.Status(time.Now()).Leading {
					t.Fatal("the leader has lost its leadership")
				}
				time.Sleep(time.Millisecond)
			}
		}
		await(ReplicaInSync)
		if leader.ReplicaStates(time.Now())[leader.name] != ReplicaInSync {
			t.Fatal("the leader is not reported in sync")
		}
		c.stop(name)
		await(ReplicaUnresponsive)
		c.wipe(name)
		c.start(name)
		await(ReplicaCatchingUp)
		if c.allVote(leader.Status(time.Now()).Members) {
			t.Fatal("the wiped replica is reported catching up though all replicas vote")
		}
		await(ReplicaInSync)
		if !c.allVote(leader.Status(time.Now()).Members) {
			t.Fatal("the wiped replica is reported in sync without a vote")
		}
		for _, other := range c.names {
			if r := c.running(other); r != leader && r.ReplicaStates(time.Now())[leader.name] != ReplicaUnknown {
				t.Fatal("a replica that does not lead reports the state of another replica")
			}
		}
	})
}

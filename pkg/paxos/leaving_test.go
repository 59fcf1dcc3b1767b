package paxos

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// removeAfter is Config.RemoveAfter of the replicas in these tests.
const removeAfter = 2 * time.Second

// awaitMemberCount waits until the log has this many members.
func (c *cluster) awaitMemberCount(count int) {
	c.t.Helper()
	for range 1000 {
		if r := c.leader(); r != nil && len(r.Status(time.Now()).Members) == count {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("not %d members within 10 s%s", count, c.describe())
}

// Guards against a log that stands still for good after members were lost for good one after the other: those that are
// gone kept their votes if two of them were silent at the same time.
func TestMembersThatAreGoneLoseTheirVotes(t *testing.T) {
	for _, gap := range []time.Duration{0, time.Second, removeAfter + time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClusterWith(t, Config{MaxMembers: 5, RemoveAfter: removeAfter}, "a", "b", "c", "d", "e")
				defer c.stopAll()
				c.propose("before")
				c.stop("a")
				time.Sleep(gap)
				c.stop("b")
				c.awaitMemberCount(3)
				c.stop("c")
				c.propose("after")
				checkAgreement(t, c.lists, []string{"before", "after"})
			})
		})
	}
}

// A member that is gone is removed only while a majority takes part, without it too, and enough members remain.
func TestMemberToRemove(t *testing.T) {
	six := Members{{Name: "a", ID: "1"}, {Name: "b", ID: "2"}, {Name: "c", ID: "3"}, {Name: "d", ID: "4"}, {Name: "e", ID: "5"}, {Name: "f", ID: "6"}}
	gone, restarting, leaving := presence{silentFor: removeAfter}, presence{silentFor: time.Second}, presence{isLeaving: true}
	for _, c := range []struct {
		name    string
		members int
		known   map[string]presence
		least   int
		want    string
	}{
		{"all take part", 5, nil, 3, ""},
		{"it may be restarting", 5, map[string]presence{"2": restarting}, 3, ""},
		{"one is gone", 5, map[string]presence{"2": gone}, 3, "b"},
		{"the longest silent one first", 5, map[string]presence{"2": gone, "4": {silentFor: 2 * removeAfter}}, 3, "d"},
		{"another is silent", 5, map[string]presence{"2": gone, "4": restarting}, 3, "b"},
		{"no majority responds", 5, map[string]presence{"2": gone, "3": gone, "4": gone}, 3, ""},
		{"one of four is gone", 4, map[string]presence{"2": gone}, 3, "b"},
		{"two of four are silent", 4, map[string]presence{"2": gone, "3": restarting}, 3, ""},
		{"two would remain", 3, map[string]presence{"2": gone}, 3, ""},
		{"four would remain of five that are needed", 5, map[string]presence{"2": gone}, 5, ""},
		{"another one has been added", 6, map[string]presence{"2": gone}, 5, "b"},
		{"one leaves", 4, map[string]presence{"3": leaving}, 3, "c"},
		{"one that leaves goes first", 5, map[string]presence{"2": gone, "3": leaving}, 3, "c"},
		{"one of four leaves while another is silent", 4, map[string]presence{"2": restarting, "3": leaving}, 3, "c"},
		{"too few would stay", 5, map[string]presence{"1": leaving, "2": leaving, "3": leaving}, 3, ""},
		{"one of three leaves", 3, map[string]presence{"3": leaving}, 3, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			member, ok := memberToRemove(six[:c.members], c.known, c.least, removeAfter)
			is.Equal(member.Name, c.want)
			is.Equal(ok, c.want != "")
		})
	}
}

// leave stops a replica as planned: it gives up its vote first, if the log can do without it.
func (c *cluster) leave(name string) error {
	r, leader := c.running(name), c.awaitLeader()
	id := r.Identify().ID
	r.Retire()
	ctx, cancel := context.WithTimeout(context.Background(), removeAfter)
	defer cancel()
	err := leader.RemoveLeaving(ctx, time.Now(), id)
	c.stop(name)
	return err
}

// Guards against a log that stands still for good when a disk is lost just after a member has left as planned, also if
// that was the leader.
func TestLeavingMemberGivesUpItsVote(t *testing.T) {
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprint("the leader: ", leads), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newClusterWith(t, Config{MaxMembers: 5, RemoveAfter: removeAfter}, "a", "b", "c", "d")
				defer c.stopAll()
				c.propose("before")
				leader := c.awaitLeader().name
				names := slices.DeleteFunc(slices.Clone(c.names), func(name string) bool { return (name == leader) != leads })
				is.NoErr(c.leave(names[0]))
				c.propose("between")
				wiped := slices.DeleteFunc(slices.Clone(c.names), func(name string) bool { return c.running(name) == nil })[0]
				c.stop(wiped)
				c.wipe(wiped)
				time.Sleep(3 * time.Second)
				c.start(wiped)
				c.awaitMemberCount(3)
				c.propose("after")
				checkAgreement(t, c.lists, []string{"before", "between", "after"})
			})
		})
	}
}

// A member that the log needs keeps its vote as it leaves, and goes on as one when it is back.
func TestMemberThatIsNeededKeepsItsVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newClusterWith(t, Config{MaxMembers: 5, RemoveAfter: removeAfter}, "a", "b", "c")
		defer c.stopAll()
		c.propose("before")
		is.Equal(c.leave("a"), ErrMemberKept)
		c.propose("between")
		c.start("a")
		time.Sleep(2 * removeAfter)
		c.awaitMemberCount(3)
		c.stop("b")
		c.propose("after")
		checkAgreement(t, c.lists, []string{"before", "between", "after"})
	})
}

// Where the loss of two disks at a time must be survived, five members remain: another replica takes the place of one that
// is gone or leaves before that one is removed.
func TestReplacementIsAddedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		candidate := ""
		var mu sync.Mutex
		settings := Config{MaxMembers: 5, MinMembers: 5, RemoveAfter: removeAfter, NextChange: func(time.Time) (string, string) {
			mu.Lock()
			defer mu.Unlock()
			return candidate, ""
		}}
		c := newClusterWith(t, settings, "a", "b", "c", "d", "e")
		defer c.stopAll()
		c.propose("before")
		c.start("f")
		c.start("g")
		c.names = append(c.names, "f", "g")
		is.Equal(c.leave("a"), ErrMemberKept) // nobody takes its place yet
		mu.Lock()
		candidate = "f"
		mu.Unlock()
		time.Sleep(2 * removeAfter)
		c.awaitMemberCount(5)
		is.True(hasName(c.awaitLeader().Status(time.Now()).Members, "f"))
		mu.Lock()
		candidate = "g"
		mu.Unlock()
		is.NoErr(c.leave("b"))
		members := c.awaitLeader().Status(time.Now()).Members
		is.Equal(len(members), 5)
		is.True(hasName(members, "g") && !hasName(members, "a") && !hasName(members, "b"))
		c.stop("c")
		c.stop("d")
		c.propose("after")
	})
}

func hasName(members Members, name string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
}

// A member that restarts gives up its vote and takes it again: it is not removed once more for having stopped before.
func TestRestartedMemberStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newClusterWith(t, Config{MaxMembers: 5, RemoveAfter: removeAfter}, "a", "b", "c", "d")
		defer c.stopAll()
		c.propose("before")
		name := "a"
		if c.awaitLeader().name == name {
			name = "b"
		}
		is.NoErr(c.leave(name))
		c.start(name)
		c.awaitMemberCount(4)
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			is.Equal(len(c.awaitLeader().Status(time.Now()).Members), 4)
		}
	})
}

package paxos

import (
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

// A member that is gone is removed only while a majority responds, and three members remain.
func TestMemberToRemove(t *testing.T) {
	is := is.New(t)
	five := Members{{Name: "a", ID: "1"}, {Name: "b", ID: "2"}, {Name: "c", ID: "3"}, {Name: "d", ID: "4"}, {Name: "e", ID: "5"}}
	remove := func(members Members, silent map[string]time.Duration) string {
		member, ok := memberToRemove(members, silent, removeAfter)
		is.Equal(ok, member.Name != "")
		return member.Name
	}
	is.Equal(remove(five, nil), "")
	is.Equal(remove(five, map[string]time.Duration{"2": time.Second}), "") // it may be restarting
	is.Equal(remove(five, map[string]time.Duration{"2": removeAfter}), "b")
	is.Equal(remove(five, map[string]time.Duration{"2": 2 * removeAfter, "4": 3 * removeAfter}), "d") // the one that has been silent longest
	is.Equal(remove(five, map[string]time.Duration{"2": 2 * removeAfter, "4": time.Millisecond}), "b")
	is.Equal(remove(five, map[string]time.Duration{"2": removeAfter, "3": removeAfter, "4": removeAfter}), "") // no majority responds
	is.Equal(remove(five[:4], map[string]time.Duration{"2": removeAfter}), "b")
	is.Equal(remove(five[:4], map[string]time.Duration{"2": removeAfter, "3": time.Second}), "") // no majority responds
	is.Equal(remove(five[:3], map[string]time.Duration{"2": removeAfter}), "")                   // two would remain
	is.Equal(remove(append(five, Member{Name: "f", ID: "6"}), map[string]time.Duration{"2": removeAfter, "6": time.Hour}), "f")
}

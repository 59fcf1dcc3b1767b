package paxos

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fleet is a cluster whose replicas are replaced, restarted and wiped, one loss at a time as a deployment counts them: a
// host is lost while it is down and for catchUp after it has started, one that left for good until its successor has run
// for catchUp.
type fleet struct {
	*cluster
	random    *rand.Rand
	mu        sync.Mutex
	hosts     []string             // that run, or will again
	startedAt map[string]time.Time // when a host has started last
	next      int
}

const catchUp = 2 * removeAfter

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 2)), startedAt: make(map[string]time.Time)}
	hosts := []string{"h00", "h01", "h02", "h03"}[:3+seed%2]
	for _, name := range hosts {
		f.startedAt[name] = time.Now()
	}
	f.hosts, f.next = slices.Clone(hosts), len(hosts)
	f.cluster = newClusterWith(t, Config{MaxMembers: 5, RemoveAfter: removeAfter, NextChange: f.nextChange}, hosts...)
	f.awaitMembers()
	f.isFounded = true
	return f
}

// nextChange names a host that runs and has no vote, as long as there are not five members.
func (f *fleet) nextChange(now time.Time) (join, replaces string) {
	leader := f.leader()
	if leader == nil {
		return "", ""
	}
	members, gone := leader.Status(now).Members, leader.Gone(now)
	if len(members)-len(gone) >= 5 {
		return "", ""
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range f.hosts {
		if r := f.running(name); r != nil && !members.Has(r.Identify().ID) && !hasName(members, name) {
			return name, ""
		}
	}
	return "", ""
}

// add starts a new host with an empty disk.
func (f *fleet) add() string {
	name := fmt.Sprintf("h%02d", f.next)
	f.next++
	f.mu.Lock()
	f.hosts = append(f.hosts, name)
	f.mu.Unlock()
	f.cluster.mu.Lock()
	f.names = append(f.names, name)
	f.cluster.mu.Unlock()
	f.startAgain(name)
	return name
}

func (f *fleet) startAgain(name string) {
	f.start(name)
	f.startedAt[name] = time.Now()
}

// drop forgets a host that has left for good.
func (f *fleet) drop(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = slices.DeleteFunc(f.hosts, func(other string) bool { return other == name })
}

// settle waits until no host counts as lost.
func (f *fleet) settle() {
	for _, at := range f.startedAt {
		time.Sleep(time.Until(at.Add(catchUp)))
	}
}

// Random sequences of hosts that leave for good, planned or not, restart and lose their disks, with no more than one lost
// at a time: the log goes on after each, and nothing that it has confirmed is lost.
func TestRandomDepartures(t *testing.T) {
	count := max(1, *seeds/5)
	for seed := range count {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runDepartures(t, uint64(seed)) })
		})
	}
}

func runDepartures(t *testing.T, seed uint64) {
	f := newFleet(t, seed)
	defer f.stopAll()
	var confirmed []string
	propose := func(text string) {
		f.propose(text)
		confirmed = append(confirmed, text)
	}
	propose("first")
	f.settle()
	for step := range 12 {
		name := f.hosts[f.random.IntN(len(f.hosts))]
		down := time.Duration(f.random.Int64N(int64(3 * time.Second)))
		switch f.random.IntN(5) {
		case 0: // one or two planned replacements, the new host first
			leaving := []string{name}
			f.add()
			if second := f.hosts[f.random.IntN(len(f.hosts)-1)]; second != name && f.random.IntN(2) == 0 {
				leaving = append(leaving, second)
				f.add()
			}
			f.settle()
			for _, old := range leaving {
				_ = f.leave(old) // the log may need its vote
				f.drop(old)
				time.Sleep(time.Duration(f.random.Int64N(int64(time.Second))))
			}
		case 1: // a host is lost for good, and another one is started
			f.settle()
			f.stop(name)
			f.drop(name)
			time.Sleep(down / 3)
			f.add()
		case 2: // a planned restart
			f.settle()
			_ = f.leave(name)
			time.Sleep(down)
			f.startAgain(name)
		case 3: // a disk is lost right after something was confirmed
			f.settle()
			propose(fmt.Sprint("before the loss in step ", step))
			f.stop(name)
			f.wipe(name)
			time.Sleep(down)
			f.startAgain(name)
		case 4: // all processes are killed and are back within a second
			for _, name := range f.hosts {
				f.stop(name)
			}
			time.Sleep(down / 3)
			for _, name := range f.hosts {
				f.startAgain(name)
			}
		}
		propose(fmt.Sprint("step ", step))
	}
	f.settle()
	propose("last")
	time.Sleep(3 * time.Second)
	checkAgreement(t, f.lists, confirmed)
}

package paxos

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/pkg/walog"
)

// networkDelay is the one-way delay of the test network.
const networkDelay = time.Millisecond

// commandList is the state machine under test: it keeps all applied commands in order.
type commandList struct {
	mu       sync.Mutex
	commands []string
}

func (l *commandList) Apply(_ uint64, data []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = append(l.commands, string(data))
	return data
}

func (l *commandList) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return json.Marshal(l.commands)
}

func (l *commandList) Restore(_ uint64, data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = nil
	return json.Unmarshal(data, &l.commands)
}

func (l *commandList) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.commands)
}

// cluster is a set of replicas on a network whose links can be blocked.
type cluster struct {
	t        *testing.T
	mu       sync.Mutex
	dir      string
	names    []string
	replicas map[string]*Replica
	lists    map[string]*commandList
	blocked  map[[2]string]bool // by sender and recipient
	wipes    int
	timing   Timing
	settings Config // MaxMembers, RemoveAfter and NextChange of each replica
	// isFounded is set where hosts come and go: those that start later know of no initial members, as in a deployment.
	isFounded bool
	dataRate  int // bytes of entries that a link carries per second, 0 for no limit

	slow map[string]time.Duration // time that a host takes for each entry, by name
	busy map[string]chan struct{} // holds a value while a slow host works on a message
}

func newCluster(t *testing.T, names ...string) *cluster {
	return newClusterWith(t, Config{}, names...)
}

// newClusterWith starts replicas with settings for members that come and go.
func newClusterWith(t *testing.T, settings Config, names ...string) *cluster {
	c := &cluster{
		t: t, dir: t.TempDir(), names: names, settings: settings,
		replicas: make(map[string]*Replica), lists: make(map[string]*commandList),
		blocked: make(map[[2]string]bool), timing: DefaultTiming(),
		slow: make(map[string]time.Duration), busy: make(map[string]chan struct{}),
	}
	c.timing.SnapshotEvery = 16
	for _, name := range names {
		c.start(name)
	}
	return c
}

func (c *cluster) wipedFolder(name string) string {
	return filepath.Join(c.dir, fmt.Sprintf("%s-%d", name, c.wipes))
}

func (c *cluster) start(name string) {
	folder := filepath.Join(c.dir, name)
	list := &commandList{}
	config := c.settings
	config.Name, config.Folder, config.Timing = name, folder, c.timing
	if !c.isFounded {
		config.InitialMembers = slices.Clone(c.names)
	}
	replica, err := New(time.Now(), config, testTransport{c, name}, list, walog.WithoutSync())
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	c.replicas[name], c.lists[name] = replica, list
	c.mu.Unlock()
	replica.Start()
}

func (c *cluster) stop(name string) {
	c.mu.Lock()
	replica := c.replicas[name]
	delete(c.replicas, name)
	c.mu.Unlock()
	if replica != nil {
		_ = replica.Stop()
	}
}

func (c *cluster) stopAll() {
	for _, name := range c.names {
		c.stop(name)
	}
}

// wipe moves the data folder of a stopped replica away, as if its disk were lost.
func (c *cluster) wipe(name string) {
	c.wipes++
	if err := os.Rename(filepath.Join(c.dir, name), c.wipedFolder(name)); err != nil {
		c.t.Fatal(err)
	}
}

// running returns the replica of this name, or nil if it is stopped.
func (c *cluster) running(name string) *Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas[name]
}

func (c *cluster) isolate(name string, block bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.names {
		c.blocked[[2]string{name, other}] = block
		c.blocked[[2]string{other, name}] = block
	}
}

func (c *cluster) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.blocked)
}

func (c *cluster) leader() *Replica {
	c.mu.Lock()
	names := slices.Clone(c.names)
	c.mu.Unlock()
	for _, name := range names {
		if r := c.running(name); r != nil && r.Status(time.Now()).Leading {
			return r
		}
	}
	return nil
}

func (c *cluster) awaitLeader() *Replica {
	for range 1000 {
		if r := c.leader(); r != nil {
			return r
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("no leader within 10 s")
	return nil
}

// propose retries until a leader has confirmed the command.
func (c *cluster) propose(command string) {
	for range 1000 {
		if r := c.leader(); r != nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, _, err := r.Propose(ctx, []byte(command))
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("%.40s was not confirmed within 10 s", command)
}

// awaitMembers waits until all replicas are members under their current identities.
func (c *cluster) awaitMembers() {
	for range 1000 {
		if r := c.leader(); r != nil && c.allVote(r.Status(time.Now()).Members) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("not all replicas became members within 10 s" + c.describe())
}

// describe returns the status of each replica, for a failure message.
func (c *cluster) describe() string {
	text := ""
	for _, name := range c.names {
		if r := c.running(name); r != nil {
			text += fmt.Sprintf("\n%s %v: %+v", name, r.Identify(), r.Status(time.Now()))
		}
	}
	return text
}

func (c *cluster) allVote(members Members) bool {
	for _, name := range c.names {
		r := c.running(name)
		if r == nil || !members.Has(r.Identify().ID) {
			return false
		}
	}
	return len(members) == len(c.names)
}

// testTransport carries the calls of one replica over the test network.
type testTransport struct {
	network *cluster
	from    string
}

var errBlocked = errors.New("link is blocked")

func (tr testTransport) deliver(ctx context.Context, from, to string) error {
	time.Sleep(networkDelay)
	tr.network.mu.Lock()
	isBlocked := tr.network.blocked[[2]string{from, to}]
	tr.network.mu.Unlock()
	if isBlocked {
		<-ctx.Done()
		return errBlocked
	}
	return ctx.Err()
}

// transfer waits for as long as entries take on a link.
func (tr testTransport) transfer(ctx context.Context, entries []Entry) error {
	tr.network.mu.Lock()
	rate := tr.network.dataRate
	tr.network.mu.Unlock()
	if rate == 0 {
		return nil
	}
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Data)
	}
	timer := time.NewTimer(time.Duration(bytes) * time.Second / time.Duration(rate))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// work waits for as long as a slow host takes for a message, whether or not the sender still waits for the reply. A host
// works on one message at a time.
func (tr testTransport) work(to string, entries int) {
	tr.network.mu.Lock()
	perEntry, busy := tr.network.slow[to], tr.network.busy[to]
	tr.network.mu.Unlock()
	if busy == nil {
		return
	}
	busy <- struct{}{}
	time.Sleep(perEntry * time.Duration(entries))
	<-busy
}

// makeSlow makes a host take a time for each entry.
func (c *cluster) makeSlow(name string, perEntry time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow[name], c.busy[name] = perEntry, make(chan struct{}, 1)
}

// snapshotWork is how many entries take a host as long as a snapshot.
const snapshotWork = 10

func call[A, R any](ctx context.Context, tr testTransport, to string, args A, handle func(*Replica, time.Time, A) (R, error)) (R, error) {
	var zero R
	if err := tr.deliver(ctx, tr.from, to); err != nil {
		return zero, err
	}
	replica := tr.network.running(to)
	if replica == nil {
		return zero, errBlocked
	}
	reply, err := handle(replica, time.Now(), args)
	if err != nil {
		return zero, err
	}
	return reply, tr.deliver(ctx, to, tr.from)
}

func (tr testTransport) Identify(ctx context.Context, name string) (Identity, error) {
	return call(ctx, tr, name, 0, func(r *Replica, _ time.Time, _ int) (Identity, error) { return r.Identify(), nil })
}

func (tr testTransport) Prepare(ctx context.Context, name string, args PrepareArgs) (PrepareReply, error) {
	return call(ctx, tr, name, args, (*Replica).HandlePrepare)
}

func (tr testTransport) Accept(ctx context.Context, name string, args AcceptArgs) (AcceptReply, error) {
	if err := tr.transfer(ctx, args.Entries); err != nil {
		return AcceptReply{}, err
	}
	return call(ctx, tr, name, args, func(r *Replica, _ time.Time, args AcceptArgs) (AcceptReply, error) {
		tr.work(name, len(args.Entries))
		return r.HandleAccept(time.Now(), args)
	})
}

func (tr testTransport) Install(ctx context.Context, name string, args SnapshotMessage) (AcceptReply, error) {
	return call(ctx, tr, name, args, func(r *Replica, _ time.Time, args SnapshotMessage) (AcceptReply, error) {
		tr.work(name, snapshotWork)
		return r.HandleInstall(time.Now(), args)
	})
}

func (tr testTransport) Fetch(ctx context.Context, name string) (SnapshotMessage, error) {
	return call(ctx, tr, name, 0, func(r *Replica, _ time.Time, _ int) (SnapshotMessage, error) { return r.HandleFetch() })
}

// checkAgreement checks that the commands of each replica are a prefix of the longest list, and that no confirmed
// command is lost.
func checkAgreement(t *testing.T, lists map[string]*commandList, confirmed []string) {
	t.Helper()
	var longest []string
	for _, l := range lists {
		if commands := l.all(); len(commands) > len(longest) {
			longest = commands
		}
	}
	for name, l := range lists {
		commands := l.all()
		if !slices.Equal(commands, longest[:len(commands)]) {
			t.Fatalf("%s applied %.400v, which is no prefix of the longest list %.400v", name, commands, longest)
		}
	}
	for _, command := range confirmed {
		if !slices.Contains(longest, command) {
			t.Fatalf("confirmed command %.40s is missing from %d commands", command, len(longest))
		}
	}
}

func TestReplicasAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		var confirmed []string
		for i := range 40 {
			command := fmt.Sprint("line-", i)
			c.propose(command)
			confirmed = append(confirmed, command)
		}
		checkAgreement(t, c.lists, confirmed)
	})
}

// An entry that takes longer to send than a message of the usual size may take is not sent over and over in vain.
func TestLargeEntryReachesSlowReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		c.propose("small")
		c.mu.Lock()
		c.dataRate = 1_300_000
		c.mu.Unlock()
		large := strings.Repeat("x", 600_000)
		c.propose(large)
		checkAgreement(t, c.lists, []string{"small", large})
	})
}

func TestLostLeaderIsReplacedWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		c.propose("before")
		oldLeader := c.awaitLeader()
		lost := time.Now()
		c.isolate(oldLeader.name, true)
		c.propose("after")
		is.True(time.Since(lost) < 1500*time.Millisecond) // leader's share of the 4 s budget
		is.True(!oldLeader.Status(time.Now()).Leading)
	})
}

// A leader that loses contact with a quorum must stop leading before another replica can start: two leaders with a
// lease would both serve.
func TestLeasesNeverOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		for round := range 6 {
			oldLeader := c.awaitLeader()
			c.isolate(oldLeader.name, true)
			for range 300 {
				leaders := 0
				for _, r := range c.replicas {
					if r.Status(time.Now()).Leading {
						leaders++
					}
				}
				if leaders > 1 {
					t.Fatalf("round %d: %d leaders hold a lease", round, leaders)
				}
				time.Sleep(5 * time.Millisecond)
			}
			c.heal()
		}
	})
}

// A replica that returns from a long partition must not depose the leader, although it has tried to be elected
// meanwhile.
func TestReturningReplicaDoesNotDisturb(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		leader := c.awaitLeader()
		isolated := "a"
		if leader.name == "a" {
			isolated = "b"
		}
		c.isolate(isolated, true)
		for i := range 50 {
			c.propose(fmt.Sprint("line-", i))
		}
		time.Sleep(10 * time.Minute)
		ballot := leader.Status(time.Now()).Ballot
		c.heal()
		time.Sleep(5 * time.Second)
		is.Equal(c.awaitLeader().Status(time.Now()).Ballot, ballot)
		is.Equal(len(c.lists[isolated].all()), 50)
	})
}

// No confirmed command may be lost when a second replica loses its disk right after the first has caught up: a replica
// must not vote before it holds the whole log.
func TestSecondLossAfterRepair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		var confirmed []string
		for round, name := range []string{"a", "b", "c", "a"} {
			command := fmt.Sprint("round-", round)
			c.propose(command)
			confirmed = append(confirmed, command)
			c.stop(name)
			c.wipe(name)
			c.start(name)
			c.awaitMembers()
		}
		c.propose("last")
		checkAgreement(t, c.lists, append(confirmed, "last"))
	})
}

// A replica with an empty disk must not vote: with one replica partitioned and one wiped, a leader elected by its vote
// could lack confirmed commands.
func TestEmptyDiskHasNoVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		c.propose("kept")
		c.awaitMembers()
		c.isolate("a", true)
		c.stop("b")
		c.wipe("b")
		c.start("b")
		time.Sleep(c.timing.Lease) // until the lease of a partitioned leader has expired
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			if r := c.leader(); r != nil {
				t.Fatalf("%s leads with one replica partitioned and one wiped", r.name)
			}
		}
		c.heal()
		c.awaitMembers()
		checkAgreement(t, c.lists, []string{"kept"})
	})
}

// seeds is the number of interleavings that TestRandomFailures runs.
var seeds = flag.Int("seeds", 300, "interleavings of random failures to run")

// Random sequences of restarts, partitions and wiped disks must not make replicas disagree or lose a confirmed command.
func TestRandomFailures(t *testing.T) {
	count := *seeds
	if testing.Short() {
		count = min(count, 30)
	}
	for seed := range count {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandom(t, uint64(seed)) })
		})
	}
}

func runRandom(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	names := []string{"a", "b", "c"}
	if seed%3 == 0 {
		names = append(names, "d", "e")
	}
	c := newCluster(t, names...)
	defer c.stopAll()
	var confirmed []string
	for step := range 24 {
		name := names[random.IntN(len(names))]
		switch random.IntN(8) {
		case 0:
			c.isolate(name, true)
		case 1, 2:
			c.heal()
		case 3:
			c.stop(name)
			c.start(name)
		case 4:
			c.heal()
			c.awaitMembers()
			c.stop(name)
			c.wipe(name)
			c.start(name)
		default:
			command := fmt.Sprint("line-", step)
			if tryPropose(c, command) {
				confirmed = append(confirmed, command)
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	}
	c.heal()
	c.propose("last")
	time.Sleep(3 * time.Second)
	checkAgreement(t, c.lists, append(confirmed, "last"))
}

func tryPropose(c *cluster, command string) bool {
	r := c.leader()
	if r == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	_, _, err := r.Propose(ctx, []byte(command))
	return err == nil
}

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
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/pkg/walog"
)

// linkDelay is the one-way delay of the test network.
const linkDelay = time.Millisecond

// book is the state machine under test: the list of all commands.
type book struct {
	mu    sync.Mutex
	lines []string
}

func (b *book) Apply(_ uint64, data []byte) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(data))
	return data
}

func (b *book) Snapshot() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return json.Marshal(b.lines)
}

func (b *book) Restore(_ uint64, data []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = nil
	return json.Unmarshal(data, &b.lines)
}

func (b *book) all() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.lines)
}

// group is a set of replicas on a network that can be cut.
type group struct {
	t      *testing.T
	mu     sync.Mutex
	dir    string
	names  []string
	nodes  map[string]*Replica
	books  map[string]*book
	cuts   map[[2]string]bool // direction from, to
	wiped  int
	timing Timing
}

func newGroup(t *testing.T, names ...string) *group {
	g := &group{
		t: t, dir: t.TempDir(), names: names,
		nodes: make(map[string]*Replica), books: make(map[string]*book),
		cuts: make(map[[2]string]bool), timing: DefaultTiming(),
	}
	g.timing.SnapshotEvery = 16
	for _, name := range names {
		g.start(name)
	}
	return g
}

func (g *group) folder(name string) string {
	return filepath.Join(g.dir, fmt.Sprintf("%s-%d", name, g.wiped))
}

func (g *group) start(name string) {
	folder := filepath.Join(g.dir, name)
	machine := &book{}
	replica, err := New(time.Now(), Config{Name: name, Folder: folder, InitialMembers: g.names, Timing: g.timing},
		port{g, name}, machine, walog.WithoutSync())
	if err != nil {
		g.t.Fatal(err)
	}
	g.mu.Lock()
	g.nodes[name], g.books[name] = replica, machine
	g.mu.Unlock()
	replica.Start()
}

func (g *group) stop(name string) {
	g.mu.Lock()
	replica := g.nodes[name]
	delete(g.nodes, name)
	g.mu.Unlock()
	if replica != nil {
		_ = replica.Stop()
	}
}

func (g *group) stopAll() {
	for _, name := range g.names {
		g.stop(name)
	}
}

// wipe loses the disk of a stopped replica.
func (g *group) wipe(name string) {
	g.wiped++
	if err := os.Rename(filepath.Join(g.dir, name), g.folder(name)); err != nil {
		g.t.Fatal(err)
	}
}

func (g *group) node(name string) *Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.nodes[name]
}

func (g *group) isolate(name string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, other := range g.names {
		g.cuts[[2]string{name, other}] = cut
		g.cuts[[2]string{other, name}] = cut
	}
}

func (g *group) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.cuts)
}

func (g *group) leader() *Replica {
	for _, name := range g.names {
		if r := g.node(name); r != nil && r.Status(time.Now()).Leading {
			return r
		}
	}
	return nil
}

func (g *group) awaitLeader() *Replica {
	for range 1000 {
		if r := g.leader(); r != nil {
			return r
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.t.Fatal("no leader within 10 s")
	return nil
}

// propose tries until some leader has confirmed the line.
func (g *group) propose(line string) {
	for range 1000 {
		if r := g.leader(); r != nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, _, err := r.Propose(ctx, []byte(line))
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.t.Fatalf("%s was not accepted within 10 s", line)
}

// awaitMembers waits until all names vote under their present identities.
func (g *group) awaitMembers() {
	for range 1000 {
		if r := g.leader(); r != nil && g.allVote(r.Status(time.Now()).Members) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.t.Fatal("not all replicas vote within 10 s" + g.describe())
}

// describe lists what each replica knows, for a failure message.
func (g *group) describe() string {
	text := ""
	for _, name := range g.names {
		if r := g.node(name); r != nil {
			text += fmt.Sprintf("\n%s %v: %+v", name, r.Identify(), r.Status(time.Now()))
		}
	}
	return text
}

func (g *group) allVote(members Members) bool {
	for _, name := range g.names {
		r := g.node(name)
		if r == nil || !members.Has(r.Identify().ID) {
			return false
		}
	}
	return len(members) == len(g.names)
}

// port is one replica's access to the network.
type port struct {
	g    *group
	from string
}

var errCut = errors.New("link is cut")

func (p port) pass(ctx context.Context, from, to string) error {
	time.Sleep(linkDelay)
	p.g.mu.Lock()
	cut := p.g.cuts[[2]string{from, to}]
	p.g.mu.Unlock()
	if cut {
		<-ctx.Done()
		return errCut
	}
	return ctx.Err()
}

func call[A, R any](ctx context.Context, p port, to string, args A, handle func(*Replica, time.Time, A) (R, error)) (R, error) {
	var none R
	if err := p.pass(ctx, p.from, to); err != nil {
		return none, err
	}
	replica := p.g.node(to)
	if replica == nil {
		return none, errCut
	}
	reply, err := handle(replica, time.Now(), args)
	if err != nil {
		return none, err
	}
	return reply, p.pass(ctx, to, p.from)
}

func (p port) Identify(ctx context.Context, name string) (Identity, error) {
	return call(ctx, p, name, 0, func(r *Replica, _ time.Time, _ int) (Identity, error) { return r.Identify(), nil })
}

func (p port) Prepare(ctx context.Context, name string, args PrepareArgs) (PrepareReply, error) {
	return call(ctx, p, name, args, (*Replica).HandlePrepare)
}

func (p port) Accept(ctx context.Context, name string, args AcceptArgs) (AcceptReply, error) {
	return call(ctx, p, name, args, (*Replica).HandleAccept)
}

func (p port) Install(ctx context.Context, name string, args SnapshotMessage) (AcceptReply, error) {
	return call(ctx, p, name, args, (*Replica).HandleInstall)
}

func (p port) Fetch(ctx context.Context, name string) (SnapshotMessage, error) {
	return call(ctx, p, name, 0, func(r *Replica, _ time.Time, _ int) (SnapshotMessage, error) { return r.HandleFetch() })
}

// checkCopies compares all books with one another and with the confirmed lines.
func checkCopies(t *testing.T, books map[string]*book, confirmed []string) {
	t.Helper()
	var longest []string
	for _, b := range books {
		if lines := b.all(); len(lines) > len(longest) {
			longest = lines
		}
	}
	for name, b := range books {
		lines := b.all()
		if !slices.Equal(lines, longest[:len(lines)]) {
			t.Fatalf("%s holds %v, another holds %v", name, lines, longest)
		}
	}
	for _, line := range confirmed {
		if !slices.Contains(longest, line) {
			t.Fatalf("confirmed %s is lost from %v", line, longest)
		}
	}
}

func TestReplicasAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		var confirmed []string
		for i := range 40 {
			line := fmt.Sprint("line-", i)
			g.propose(line)
			confirmed = append(confirmed, line)
		}
		checkCopies(t, g.books, confirmed)
	})
}

func TestLostLeaderIsReplacedWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		g.propose("before")
		old := g.awaitLeader()
		lost := time.Now()
		g.isolate(old.name, true)
		g.propose("after")
		is.True(time.Since(lost) < 1500*time.Millisecond) // leader's share of the 4 s budget
		is.True(!old.Status(time.Now()).Leading)
	})
}

// A leader that a quorum no longer hears must stop before another can start.
func TestLeasesNeverOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		for round := range 6 {
			old := g.awaitLeader()
			g.isolate(old.name, true)
			for range 300 {
				leaders := 0
				for _, r := range g.nodes {
					if r.Status(time.Now()).Leading {
						leaders++
					}
				}
				if leaders > 1 {
					t.Fatalf("round %d: %d leaders hold a lease", round, leaders)
				}
				time.Sleep(5 * time.Millisecond)
			}
			g.heal()
		}
	})
}

// A replica on the far side of a partition for a long time does not unseat the leader when it is back.
func TestReturningReplicaDoesNotDisturb(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.awaitLeader()
		away := "a"
		if leader.name == "a" {
			away = "b"
		}
		g.isolate(away, true)
		for i := range 50 {
			g.propose(fmt.Sprint("line-", i))
		}
		time.Sleep(10 * time.Minute)
		ballot := leader.Status(time.Now()).Ballot
		g.heal()
		time.Sleep(5 * time.Second)
		is.Equal(g.awaitLeader().Status(time.Now()).Ballot, ballot)
		is.Equal(len(g.books[away].all()), 50)
	})
}

// A second replica is lost right after the first has been repaired.
func TestSecondLossAfterRepair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		var confirmed []string
		for round, name := range []string{"a", "b", "c", "a"} {
			line := fmt.Sprint("round-", round)
			g.propose(line)
			confirmed = append(confirmed, line)
			g.stop(name)
			g.wipe(name)
			g.start(name)
			g.awaitMembers()
		}
		g.propose("last")
		checkCopies(t, g.books, append(confirmed, "last"))
	})
}

// An empty disk has no vote: with one replica cut off and one wiped, nothing may be chosen.
func TestEmptyDiskHasNoVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		g.propose("kept")
		g.awaitMembers()
		g.isolate("a", true)
		g.stop("b")
		g.wipe("b")
		g.start("b")
		time.Sleep(g.timing.Lease) // until the lease of a leader that is cut off has ended
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			if r := g.leader(); r != nil {
				t.Fatalf("%s leads with one replica cut off and one wiped", r.name)
			}
		}
		g.heal()
		g.awaitMembers()
		checkCopies(t, g.books, []string{"kept"})
	})
}

// seeds is how many interleavings TestRandomFailures runs.
var seeds = flag.Int("seeds", 300, "interleavings of random failures to run")

// Random losses, cuts and wiped disks never break the agreement of the copies.
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
	g := newGroup(t, names...)
	defer g.stopAll()
	var confirmed []string
	for step := range 24 {
		name := names[random.IntN(len(names))]
		switch random.IntN(8) {
		case 0:
			g.isolate(name, true)
		case 1, 2:
			g.heal()
		case 3:
			g.stop(name)
			g.start(name)
		case 4:
			g.heal()
			g.awaitMembers()
			g.stop(name)
			g.wipe(name)
			g.start(name)
		default:
			line := fmt.Sprint("line-", step)
			if tryPropose(g, line) {
				confirmed = append(confirmed, line)
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	}
	g.heal()
	g.propose("last")
	time.Sleep(3 * time.Second)
	checkCopies(t, g.books, append(confirmed, "last"))
}

func tryPropose(g *group, line string) bool {
	r := g.leader()
	if r == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	_, _, err := r.Propose(ctx, []byte(line))
	return err == nil
}

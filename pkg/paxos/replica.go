package paxos

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"lovagelink.example/lovagelink/pkg/walog"
)

// The errors that a proposal can meet.
var (
	ErrNotLeader          = errors.New("not the leader")
	ErrOutcomeUnknown     = errors.New("the outcome of the proposal is unknown")
	ErrMembershipChanging = errors.New("a change of members is under way")
)

// StateMachine is the state machine that the log drives; its methods are called one at a time.
type StateMachine interface {
	Apply(index uint64, data []byte) []byte
	Snapshot() ([]byte, error)
	Restore(index uint64, data []byte) error
}

// Timing holds the periods that replicas of one log must share.
type Timing struct {
	Lease          time.Duration // how long a follower stands by a leader it has heard
	Heartbeat      time.Duration
	ElectionJitter time.Duration // the most that is added to Lease at random before an election
	Timeout        time.Duration // of one call
	SnapshotEvery  uint64        // entries between snapshots
}

// DefaultTiming suits zones some milliseconds apart.
func DefaultTiming() Timing {
	return Timing{
		Lease:          600 * time.Millisecond,
		Heartbeat:      100 * time.Millisecond,
		ElectionJitter: 200 * time.Millisecond,
		Timeout:        400 * time.Millisecond,
		SnapshotEvery:  1024,
	}
}

// Config names a replica and what it stands on.
type Config struct {
	Name           string
	Folder         string
	InitialMembers []string // names that found the log together when all of them are empty
	Timing         Timing

	// JoinCandidates names replicas that ask to become members; none when it is nil.
	JoinCandidates func() []string
	// MaxMembers bounds the members that guests can bring the log to.
	MaxMembers int
	// RemoveAfter is how long a member is silent before it is removed, if enough others remain; 0 is never.
	RemoveAfter time.Duration
}

// Status is what a replica knows of the log's state.
type Status struct {
	Leader      string
	Leading     bool
	LastContact time.Time // when the leader was last heard here, if this replica does not lead
	LeaseUntil  time.Time // until when no other replica can lead, if this one does
	Commit      uint64
	Members     Members // the newest membership that is chosen: a repair counts only from then on
	Ballot      Ballot
}

// Replica is one voting copy of the log.
type Replica struct {
	name      string
	setup     Config
	timing    Timing
	store     *store
	transport Transport
	machine   StateMachine
	random    *rand.Rand
	tomb      tomb.Tomb

	mu        sync.Mutex
	log       history
	promised  Ballot
	commit    uint64
	matched   uint64 // the log up to here is chosen or of the ballot matchedIn
	matchedIn Ballot
	heard     time.Time // when the leader was last heard
	leader    string
	lead      *leadership
	hint      Members // a membership that a lost election has revealed
	waiters   map[uint64]waiter
	failed    error
}

// New opens the folder of a replica; Start sets it to work.
func New(now time.Time, setup Config, transport Transport, machine StateMachine, options ...walog.Option) (*Replica, error) {
	store, found, err := openStore(setup.Name, setup.Folder, options...)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		name:      setup.Name,
		setup:     setup,
		timing:    setup.Timing,
		store:     store,
		transport: transport,
		machine:   machine,
		random:    rand.New(rand.NewPCG(seedOf(setup.Name), 0)),
		promised:  found.promised,
		heard:     now, // a promise given before a restart may still hold
		waiters:   make(map[uint64]waiter),
	}
	if err := r.restore(found); err != nil {
		store.log.Close()
		return nil, err
	}
	return r, nil
}

// restore builds the state from what the disk held.
func (r *Replica) restore(found loaded) error {
	if img := found.image; img != nil {
		r.log.rebase(img.Index, img.Members)
		r.commit = img.Index
		if err := r.machine.Restore(img.Index, img.Data); err != nil {
			return fmt.Errorf("restore snapshot: %w", err)
		}
	}
	for _, entry := range found.entries {
		if err := r.log.put(entry); err != nil {
			return fmt.Errorf("restore log: %w", err)
		}
	}
	if err := r.learn(min(found.commit, r.log.last())); err != nil {
		return fmt.Errorf("restore state: %w", err)
	}
	r.matched = r.commit
	return nil
}

// Start lets the replica vote and stand for election.
func (r *Replica) Start() {
	r.tomb.Go(r.run)
}

// Stop ends all work and closes the log.
func (r *Replica) Stop() error {
	r.tomb.Kill(nil)
	err := r.tomb.Wait()
	r.store.log.Close()
	return err
}

// Done closes when the replica has ended, by Stop or by a failed disk.
func (r *Replica) Done() <-chan struct{} {
	return r.tomb.Dead()
}

// Err returns why the replica ended.
func (r *Replica) Err() error {
	return r.tomb.Err()
}

// Status returns what the replica knows at the present time.
func (r *Replica) Status(now time.Time) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := Status{
		Leader:      r.leader,
		LastContact: r.heard,
		Commit:      r.commit,
		Members:     r.log.membersAt(r.commit),
		Ballot:      r.promised,
	}
	if r.lead != nil && r.commit >= r.lead.opened {
		status.LeaseUntil = r.lead.leaseUntil(now, r.log.members(), r.store.id, r.timing.Lease)
		status.Leading = now.Before(status.LeaseUntil)
	}
	return status
}

// run alternates between following, standing for election and leading.
func (r *Replica) run() error {
	for r.tomb.Alive() {
		if err := r.follow(); err != nil {
			return err
		}
		won, err := r.campaign(time.Now())
		if err != nil {
			return err
		}
		if won == nil {
			r.pause(r.timing.Heartbeat)
			continue
		}
		if err := r.reign(won); err != nil {
			return err
		}
	}
	return nil
}

// follow returns once the leader has been silent for long enough to stand for election.
func (r *Replica) follow() error {
	spread := time.Duration(r.random.Int64N(int64(r.timing.ElectionJitter) + 1))
	for r.tomb.Alive() {
		if err := r.failure(); err != nil {
			return err
		}
		if r.isEmpty() {
			r.found()
			r.pause(r.timing.Heartbeat)
			continue
		}
		rest := r.silenceLeft(time.Now(), spread)
		if rest <= 0 && r.isVoter() {
			return nil
		}
		r.pause(min(max(rest, time.Millisecond), r.timing.Heartbeat))
	}
	return nil
}

func (r *Replica) silenceLeft(now time.Time, spread time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heard.Add(r.timing.Lease + spread).Sub(now)
}

func (r *Replica) isVoter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.members().Has(r.store.id)
}

func (r *Replica) isEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.emptyLocked()
}

func (r *Replica) emptyLocked() bool {
	return len(r.log.members()) == 0 && r.log.last() == 0 && r.promised == Ballot{}
}

func (r *Replica) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

// fail stops the replica for good: what the disk holds is no longer known.
func (r *Replica) fail(err error) error {
	if r.failed == nil {
		r.failed = err
		r.tomb.Kill(err)
	}
	return r.failed
}

func (r *Replica) pause(period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.tomb.Dying():
	}
}

func seedOf(name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()
}

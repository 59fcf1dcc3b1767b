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

// Errors of a proposal. After ErrNotLeader the data is not in the log; after ErrOutcomeUnknown it may or may not be.
// ErrMembershipChanging reports that an earlier membership change is not committed yet.
var (
	ErrNotLeader          = errors.New("not the leader")
	ErrOutcomeUnknown     = errors.New("the outcome of the proposal is unknown")
	ErrMembershipChanging = errors.New("a change of members is under way")
)

// StateMachine is the state machine that the log drives. Its methods are called one at a time; the result of Apply is
// returned to the proposer.
type StateMachine interface {
	Apply(index uint64, data []byte) []byte
	Snapshot() ([]byte, error)
	Restore(index uint64, data []byte) error
}

// Timing holds the periods that all replicas of a log must share.
type Timing struct {
	Lease          time.Duration // how long a follower stays with a leader after the leader's last message
	Heartbeat      time.Duration // the longest pause between two messages of the leader to a follower
	ElectionJitter time.Duration // the largest random delay that is added to Lease before an election
	Timeout        time.Duration // timeout of a call to another replica, for messages of a usual size
	SnapshotEvery  uint64        // number of committed entries between two snapshots
}

// minDataRate is the least number of bytes per second at which entries and snapshots are assumed to reach another
// replica, with the time to encode and to store them.
const minDataRate = 1 << 20

// timeoutFor returns the timeout of a call with some bytes of data. A message that is too large for a constant timeout
// would be sent again and again, and never arrive.
func (t Timing) timeoutFor(bytes int) time.Duration {
	return t.Timeout + time.Duration(bytes)*time.Second/minDataRate
}

// maxReplyTime is the longest time in which a reply with data may arrive. Its size is not known in advance; a transport
// should end the call before if nothing arrives for Timeout.
func (t Timing) maxReplyTime() time.Duration { return replyTimeouts * t.Timeout }

const replyTimeouts = 5

// DefaultTiming returns the timing for replicas in zones that are a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{
		Lease:          600 * time.Millisecond,
		Heartbeat:      100 * time.Millisecond,
		ElectionJitter: 200 * time.Millisecond,
		Timeout:        400 * time.Millisecond,
		SnapshotEvery:  1024,
	}
}

// Config holds the settings of a replica.
type Config struct {
	Name           string
	Folder         string   // data folder of this replica alone
	InitialMembers []string // names of the replicas that create the log together when all of them are empty
	Timing         Timing

	// NextChange returns the name of a replica that is to become a member, and that of the member whose place it takes,
	// empty if it is an additional one. An empty first name means that no change is wanted. Nil means the same.
	NextChange func(now time.Time) (join, replaces string)
	// MaxMembers is the number of members up to which replicas are added without replacing one.
	MaxMembers int
	// RemoveAfter is how long a member must be unresponsive before it is removed, if enough others remain and respond.
	// Zero disables removal.
	RemoveAfter time.Duration
	// MinMembers is the number of members that must remain when one is removed, 3 if it is zero. To survive the loss of n
	// disks at a time, 2n+1 are needed.
	MinMembers int
}

// Status is a replica's view of the log.
type Status struct {
	Leader      string
	Leading     bool
	LastContact time.Time // when this replica last heard from the leader or promised a candidate, if it does not lead
	CurrentAt   time.Time // when this replica last held all that the leader had committed, if it does not lead
	LeaseUntil  time.Time // time until which no other replica can lead, if this replica leads
	Commit      uint64
	Members     Members // the newest committed membership; a new member counts only from then on
	Ballot      Ballot  // the highest ballot promised
}

// Replica is one replica of the log.
type Replica struct {
	name      string
	config    Config
	timing    Timing
	store     *store
	transport Transport
	machine   StateMachine
	random    *rand.Rand
	tomb      tomb.Tomb

	mu             sync.Mutex
	log            logTail
	promised       Ballot
	commit         uint64
	matchIndex     uint64 // the log up to this index is chosen or of matchBallot
	matchBallot    Ballot
	lastContact    time.Time // when the replica last heard from the leader or promised a candidate
	currentAt      time.Time // when the replica last held all that the leader had committed
	leader         string
	currentTenure  *tenure
	pendingMembers Members // an uncommitted membership found in a lost election
	waiters        map[uint64]waiter
	failed         error
	isRetired      bool // this replica is about to stop, and is not to become a member
}

// New opens the data folder of a replica; Start starts the replica. Since a lease granted before a restart may still
// run, the replica waits for a lease period from now on before an election. The error is ErrForeignFolder for the
// folder of another replica, and otherwise that of the disk, the log or the state machine.
func New(now time.Time, config Config, transport Transport, machine StateMachine, options ...walog.Option) (*Replica, error) {
	store, state, err := openStore(config.Name, config.Folder, options...)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		name:        config.Name,
		config:      config,
		timing:      config.Timing,
		store:       store,
		transport:   transport,
		machine:     machine,
		random:      rand.New(rand.NewPCG(seedOf(config.Name), 0)),
		promised:    state.promised,
		lastContact: now, // a lease granted before a restart may still run
		waiters:     make(map[uint64]waiter),
	}
	if err := r.restore(state); err != nil {
		store.log.Close()
		return nil, err
	}
	return r, nil
}

// restore builds the replica's state from the content of the disk.
func (r *Replica) restore(state loadedState) error {
	if snap := state.diskSnapshot; snap != nil {
		r.log.rebase(snap.Index, snap.Members)
		r.commit = snap.Index
		if err := r.machine.Restore(snap.Index, snap.Data); err != nil {
			return fmt.Errorf("restore snapshot: %w", err)
		}
	}
	for _, entry := range state.entries {
		if err := r.log.put(entry); err != nil {
			return fmt.Errorf("restore log: %w", err)
		}
	}
	if err := r.applyUpTo(min(state.commit, r.log.last())); err != nil {
		return fmt.Errorf("restore state: %w", err)
	}
	r.matchIndex = r.commit
	return nil
}

// Start lets the replica follow a leader, stand for election and lead.
func (r *Replica) Start() {
	r.tomb.Go(r.run)
}

// Stop ends all tasks, closes the log and returns the failure that ended the replica before, if any.
func (r *Replica) Stop() error {
	r.tomb.Kill(nil)
	err := r.tomb.Wait()
	r.store.log.Close()
	return err
}

// Done returns a channel that is closed when the replica has ended, by Stop or by a failure such as that of the disk.
func (r *Replica) Done() <-chan struct{} {
	return r.tomb.Dead()
}

// Err returns why the replica ended: nil if Stop ended it, and tomb.ErrStillAlive while it runs.
func (r *Replica) Err() error {
	return r.tomb.Err()
}

// Status returns the replica's view of the log at time now.
func (r *Replica) Status(now time.Time) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := Status{
		Leader:      r.leader,
		LastContact: r.lastContact,
		CurrentAt:   r.currentAt,
		Commit:      r.commit,
		Members:     r.log.membersAt(r.commit),
		Ballot:      r.promised,
	}
	if r.currentTenure != nil && r.commit >= r.currentTenure.firstIndex {
		status.LeaseUntil = r.currentTenure.leaseUntil(now, r.log.members(), r.store.id, r.timing.Lease)
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
		t, err := r.runElection(time.Now())
		if err != nil {
			return err
		}
		if t == nil {
			r.pause(r.timing.Heartbeat)
			continue
		}
		if err := r.runTenure(t); err != nil {
			return err
		}
	}
	return nil
}

// follow returns when this replica should stand for election: it is a member and has heard nothing from a leader for a
// lease period and a random delay. A replica without any state tries to bootstrap the log meanwhile.
func (r *Replica) follow() error {
	jitter := time.Duration(r.random.Int64N(int64(r.timing.ElectionJitter) + 1))
	for r.tomb.Alive() {
		if err := r.failure(); err != nil {
			return err
		}
		if r.isEmpty() {
			r.bootstrap()
			r.pause(r.timing.Heartbeat)
			continue
		}
		delay := r.electionDelay(time.Now(), jitter)
		if delay <= 0 && r.isVoter() {
			return nil
		}
		r.pause(min(max(delay, time.Millisecond), r.timing.Heartbeat))
	}
	return nil
}

// electionDelay returns the time that is left until an election is due.
func (r *Replica) electionDelay(now time.Time, jitter time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastContact.Add(r.timing.Lease + jitter).Sub(now)
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

// fail stops the replica for good, since the content of its disk is no longer certain.
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

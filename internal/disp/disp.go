package disp

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"lovagelink.example/lovagelink/internal/once"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/queue"
)

// Lease reports until when this host may act as a dispatcher.
type Lease interface {
	LeaseUntil() time.Time
}

// Recorder records the start of each non-idempotent request on another host before the request is sent, and checks
// that the entry host still waits for it.
type Recorder interface {
	RecordStart(ctx context.Context, r Request) (StartAck, error)
	RecordOutcome(r Request, host string, outcome Outcome)
}

// StartAck confirms the start of a request and names the other host that has recorded the start.
type StartAck struct {
	Host  string    // the host that recorded the start; empty if no other host could be reached
	Until time.Time // the latest time at which the request may be sent; zero if unlimited
}

// Control sends a dispatcher's reports to the leader.
type Control interface {
	ReportLost(ctx context.Context, upstream string, epoch uint64)
	ReportReleased(ctx context.Context, service string, slots map[int]uint64)
}

// Deps holds the dependencies of a dispatcher.
type Deps struct {
	Host          string
	Network       peer.Network
	Lease         Lease
	ZoneLease     Lease // replaces Lease for services that keep serving in a partitioned zone
	Recorder      Recorder
	HistorySource HistorySource
	Offloader     Offloader
	Control       Control
	Dedup         *DedupTable
	Stats         *Stats

	// LargeResponses holds an entry for each large response that is being read, and is shared by all dispatchers of a host.
	LargeResponses chan struct{}
}

// NewLargeResponses returns the LargeResponses of a host.
func NewLargeResponses() chan struct{} { return make(chan struct{}, maxLargeResponses) }

// Dispatcher orders and sends all requests of one upstream.
type Dispatcher struct {
	Deps
	upstream           state.Announced
	epoch              uint64
	nonIdempotent      bool
	previousDispatcher string
	zoneBound          bool
	unkeyed            bool
	client             *once.Client // for requests
	grantClient        *once.Client // for grants
	wake               chan struct{}
	tomb               tomb.Tomb
	missedGrant        bool // the last grant got no valid reply; used by the grant loop only

	mu           sync.Mutex
	queue        *queue.Queue[*queuedRequest]
	floors       []float64
	slots        map[int]*ownedSlot
	running      int
	limiter      limiter
	overloads    []overloadDetector // by rank
	closed       bool
	grant        grantState
	upstreamLost eventSignal // fires when the upstream is lost
	connsSuspect eventSignal // fires when older connections may have failed silently
}

// queuedRequest is a request in the queue; ready closes when the request leaves the queue.
type queuedRequest struct {
	ready   chan struct{}
	maxWait time.Duration // longest wait in an overload, see maxOverloadWait
	tooLate bool          // refused when dequeued, since it waited too long; set before ready closes
}

// New returns a dispatcher for a role; Start starts it.
func New(now time.Time, role Role, deps Deps) *Dispatcher {
	d := &Dispatcher{
		Deps:               deps,
		upstream:           role.Upstream.Announced,
		epoch:              role.Upstream.Epoch,
		nonIdempotent:      role.NonIdempotent,
		previousDispatcher: role.PreviousDispatcher,
		zoneBound:          role.ZoneBound,
		unkeyed:            role.Unkeyed,
		client:             newClient(deps.Network, role.Upstream.Connections, idleTimeout),
		grantClient:        newClient(deps.Network, 2, grantIdleTimeout),
		wake:               make(chan struct{}, 1),
		queue:              queue.New[*queuedRequest](role.Floors...),
		floors:             role.Floors,
		overloads:          make([]overloadDetector, len(role.Floors)),
		slots:              make(map[int]*ownedSlot),
		limiter:            newLimiter(role.Upstream.Concurrency),
		grant:              grantState{startedAt: now},
		upstreamLost:       newEventSignal(),
		connsSuspect:       newEventSignal(),
	}
	if role.ZoneBound {
		d.Lease = deps.ZoneLease
	}
	return d
}

// Start starts the loop that grants slots to the upstream.
func (d *Dispatcher) Start() {
	d.tomb.Go(d.grantLoop)
}

// Stop stops the dispatcher: queued requests are returned as not run, and requests in flight end by themselves.
func (d *Dispatcher) Stop() {
	d.close()
	d.tomb.Kill(nil)
	_ = d.tomb.Wait()
	d.client.CloseIdleConnections()
	d.grantClient.CloseIdleConnections()
}

func (d *Dispatcher) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeLocked()
}

func (d *Dispatcher) closeLocked() {
	d.closed = true
	for _, s := range d.slots {
		s.startRelease()
	}
}

// Sync updates the slots of the upstream to those of role.
func (d *Dispatcher) Sync(now time.Time, role Role) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	var added []int
	for number, slot := range role.Slots {
		current := d.slots[number]
		if current == nil || current.epoch != slot.Epoch {
			if current != nil {
				current.startRelease()
			}
			d.slots[number] = newOwnedSlot(now, number, slot.Epoch)
			added = append(added, number)
		}
		if slot.NextOwner != "" {
			d.slots[number].startRelease()
		}
	}
	for number, s := range d.slots {
		if _, ok := role.Slots[number]; !ok {
			s.startRelease()
			delete(d.slots, number)
		}
	}
	if len(added) > 0 && d.tomb.Alive() {
		d.tomb.Go(func() error { return d.loadHistory(added) })
	}
	d.wakeGrantLoop()
}

func (d *Dispatcher) wakeGrantLoop() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Counts calls add with the number of requests of each slot since the last call of Counts.
func (d *Dispatcher) Counts(add func(slot, count int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for number, s := range d.slots {
		if s.count > 0 {
			add(number, s.count)
			s.count = 0
		}
	}
}

// Health describes the state of an upstream as its dispatcher sees it.
type Health struct {
	Reached  bool  `json:"reached"`
	Draining bool  `json:"draining"`
	Idle     bool  `json:"idle"`
	Queued   int   `json:"queued"`
	Waiting  []int `json:"waiting"` // queued requests by rank
	Running  int   `json:"running"`
}

// Health returns the current state of the upstream.
func (d *Dispatcher) Health(now time.Time) Health {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Health{
		Reached:  now.Sub(d.grant.ackedAt) < grantInterval*3,
		Draining: d.grant.draining,
		Idle:     len(d.slots) == 0 && d.running == 0 && d.queue.Len() == 0,
		Queued:   d.queue.Len(),
		Waiting:  d.queuedByRank(),
		Running:  d.running,
	}
}

// queuedByRank returns the number of queued requests of each rank; the caller holds the lock.
func (d *Dispatcher) queuedByRank() []int {
	counts := make([]int, len(d.floors))
	aheadOfRank := 0
	for rank := range counts {
		ahead := d.queue.Ahead(rank)
		counts[rank] = ahead - aheadOfRank
		aheadOfRank = ahead
	}
	return counts
}

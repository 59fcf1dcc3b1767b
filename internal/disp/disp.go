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

// Lease tells until when this host may act as a dispatcher.
type Lease interface {
	LeaseUntil() time.Time
}

// Recorder makes sure before an exclusive request is sent that another host knows of it, and that
// its entry host still wants it.
type Recorder interface {
	RecordStart(ctx context.Context, r Request) (StartAck, error)
	RecordOutcome(r Request, by string, outcome Outcome)
}

// StartAck is a start that another host knows of.
type StartAck struct {
	Host  string    // the host that has noted it
	Until time.Time // when the request may last be sent; zero where there is no such bound
}

// Control takes a dispatcher's reports.
type Control interface {
	ReportLost(ctx context.Context, upstream string, epoch uint64)
	ReportReleased(ctx context.Context, service string, slots map[int]uint64)
}

// Deps is what a dispatcher stands on.
type Deps struct {
	Host          string
	Network       peer.Network
	Lease         Lease
	ZoneLease     Lease // for services that stay in a zone that is cut off
	Recorder      Recorder
	HistorySource HistorySource
	Offloader     Offloader
	Control       Control
	Dedup         *DedupTable
	Stats         *Stats
}

// Dispatcher orders and sends all work of one upstream.
type Dispatcher struct {
	Deps
	upstream  state.Announced
	epoch     uint64
	exclusive bool
	before    string
	stays     bool
	free      bool
	client    *once.Client // for work
	prober    *once.Client // for grants
	nudge     chan struct{}
	tomb      tomb.Tomb
	missed    bool // the last grant was not answered; used by the grant loop alone

	mu      sync.Mutex
	queue   *queue.Queue[*waiting]
	floors  []float64
	shares  map[int]*share
	running int
	pace    pace
	behind  []overload // by rank
	closed  bool
	grant   grantState
	lost    signal // fires when the upstream is given up
	suspect signal // fires when older connections may be silent
}

// waiting is a queued request; ready closes when its turn has come.
type waiting struct {
	ready chan struct{}
	wait  time.Duration // longest useful wait
	late  bool          // refused when its turn came; set before ready closes
}

// New returns the dispatcher for a role; Start sets it to work.
func New(now time.Time, role Role, deps Deps) *Dispatcher {
	d := &Dispatcher{
		Deps:      deps,
		upstream:  role.Upstream.Announced,
		epoch:     role.Upstream.Epoch,
		exclusive: role.NonIdempotent,
		before:    role.PreviousDispatcher,
		stays:     role.ZoneBound,
		free:      role.Unkeyed,
		client:    newClient(deps.Network, role.Upstream.Connections, idleTimeout),
		prober:    newClient(deps.Network, 2, probeIdle),
		nudge:     make(chan struct{}, 1),
		queue:     queue.New[*waiting](role.Floors...),
		floors:    role.Floors,
		behind:    make([]overload, len(role.Floors)),
		shares:    make(map[int]*share),
		pace:      newPace(role.Upstream.Concurrency),
		grant:     grantState{since: now},
		lost:      newSignal(),
		suspect:   newSignal(),
	}
	if role.ZoneBound {
		d.Lease = deps.ZoneLease
	}
	return d
}

// Start begins to grant slots and to send.
func (d *Dispatcher) Start() {
	d.tomb.Go(d.grantLoop)
}

// Stop ends the dispatcher: what waits is given back, what was sent is left to end by itself.
func (d *Dispatcher) Stop() {
	d.close()
	d.tomb.Kill(nil)
	_ = d.tomb.Wait()
	d.client.CloseIdleConnections()
	d.prober.CloseIdleConnections()
}

func (d *Dispatcher) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeLocked()
}

func (d *Dispatcher) closeLocked() {
	d.closed = true
	for _, s := range d.shares {
		s.leave()
	}
}

// Sync takes in the slots that the upstream owns now.
func (d *Dispatcher) Sync(now time.Time, role Role) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	var fresh []int
	for number, slot := range role.Slots {
		known := d.shares[number]
		if known == nil || known.epoch != slot.Epoch {
			if known != nil {
				known.leave()
			}
			d.shares[number] = newShare(now, number, slot.Epoch)
			fresh = append(fresh, number)
		}
		if slot.NextOwner != "" {
			d.shares[number].leave()
		}
	}
	for number, s := range d.shares {
		if _, ok := role.Slots[number]; !ok {
			s.leave()
			delete(d.shares, number)
		}
	}
	if len(fresh) > 0 && d.tomb.Alive() {
		d.tomb.Go(func() error { return d.learnHistory(fresh) })
	}
	d.rouse()
}

func (d *Dispatcher) rouse() {
	select {
	case d.nudge <- struct{}{}:
	default:
	}
}

// Counts adds the requests of each slot since the last call to add.
func (d *Dispatcher) Counts(add func(slot, count int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for number, s := range d.shares {
		if s.count > 0 {
			add(number, s.count)
			s.count = 0
		}
	}
}

// Health is what a dispatcher knows of its upstream.
type Health struct {
	Reached  bool  `json:"reached"`
	Draining bool  `json:"draining"`
	Idle     bool  `json:"idle"`
	Queued   int   `json:"queued"`
	Waiting  []int `json:"waiting"` // queued requests by rank
	Running  int   `json:"running"`
}

// Health returns the present state of the upstream.
func (d *Dispatcher) Health(now time.Time) Health {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Health{
		Reached:  now.Sub(d.grant.acked) < grantPeriod*3,
		Draining: d.grant.draining,
		Idle:     len(d.shares) == 0 && d.running == 0 && d.queue.Len() == 0,
		Queued:   d.queue.Len(),
		Waiting:  d.waiting(),
		Running:  d.running,
	}
}

// waiting counts the queued requests of each rank; the lock is held.
func (d *Dispatcher) waiting() []int {
	counts := make([]int, len(d.floors))
	before := 0
	for rank := range counts {
		ahead := d.queue.Ahead(rank)
		counts[rank] = ahead - before
		before = ahead
	}
	return counts
}

package disp

import (
	"context"
	"net/http"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"lovagelink.example/lovagelink/internal/ctrl"
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/queue"
)

// Lease tells until when this host may act as a dispatcher.
type Lease interface {
	LeaseUntil() time.Time
}

// Witness makes sure before an exclusive request is sent that another host knows of it, and that
// its entry host still wants it. Start returns the host that has noted the start.
type Witness interface {
	Start(ctx context.Context, r Request) (noted string, err error)
	Finished(r Request, noted string, outcome Outcome)
}

// History is what the hosts know of earlier requests.
type History struct {
	Notes       []Note
	Answered    map[string]bool // by host
	Missing     int             // hosts that did not answer or that have lost what they knew
	ZoneMissing bool            // no host of some zone has answered
}

// Historian collects what other hosts know of earlier requests. A host that is asked ends its own
// dispatcher of the upstream first, so that nothing is started behind the answer.
type Historian interface {
	Collect(ctx context.Context, upstream string, epoch uint64, service string, slots []int) History
	Find(ctx context.Context, service, id string) History
}

// Control takes a dispatcher's reports.
type Control interface {
	Lost(ctx context.Context, upstream string, epoch uint64)
	Released(ctx context.Context, service string, slots map[int]uint64)
}

// Deps is what a dispatcher stands on.
type Deps struct {
	Host      string
	Network   peer.Network
	Lease     Lease
	ZoneLease Lease // for services that stay in a zone that is cut off
	Witness   Witness
	Historian Historian
	Control   Control
	Book      *Book
	Stats     *Stats
}

// Dispatcher orders and sends all work of one upstream.
type Dispatcher struct {
	Deps
	upstream  state.Announced
	epoch     uint64
	exclusive bool
	before    string
	stays     bool
	client    *http.Client // for work
	prober    *http.Client // for grants
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
		exclusive: role.Exclusive,
		before:    role.Before,
		stays:     role.Stays,
		client:    newClient(deps.Network, role.Upstream.Connections, idleTimeout),
		prober:    newClient(deps.Network, 2, probeIdle),
		nudge:     make(chan struct{}, 1),
		queue:     queue.New[*waiting](role.Floors...),
		floors:    role.Floors,
		behind:    make([]overload, len(role.Floors)),
		shares:    make(map[int]*share),
		pace:      newPace(role.Upstream.Slots),
		grant:     grantState{since: now},
		lost:      newSignal(),
		suspect:   newSignal(),
	}
	if role.Stays {
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
		if slot.Next != "" {
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

// tolerated is how many hosts can miss: each started request is known to two.
const tolerated = 1

// Pauses between two questions to the hosts that did not tell their history.
const (
	gapPause    = 500 * time.Millisecond // doubles with each question
	maxGapPause = 8 * time.Second
)

// hasGap reports whether requests may have been started that nobody has told of.
func (y History) hasGap() bool { return y.Missing > tolerated }

// learnHistory opens new slots once it is known which exclusive requests they have had, and once
// the dispatcher before this one is sure to have ended. Where too many hosts did not answer, the slots
// are opened with a gap, and the hosts are asked until enough have told.
func (d *Dispatcher) learnHistory(slots []int) error {
	ctx := d.tomb.Context(context.Background())
	began := time.Now()
	history := d.collect(ctx, slots)
	if d.before != "" && d.before != d.Host && !history.Answered[d.before] {
		pause.For(ctx, time.Until(began.Add(d.handOver())))
		history = d.collect(ctx, slots)
	}
	shares := d.openShares(slots, history.hasGap())
	for wait := gapPause; history.hasGap() && d.tomb.Alive(); wait = min(2*wait, maxGapPause) {
		pause.For(ctx, wait)
		history = d.collect(ctx, slots)
	}
	if !history.hasGap() {
		closeGaps(shares)
	}
	return nil
}

// collect asks the other hosts and enters what they tell in the book.
func (d *Dispatcher) collect(ctx context.Context, slots []int) History {
	history := d.Historian.Collect(ctx, d.upstream.ID, d.epoch, d.upstream.Service, slots)
	d.Book.Import(time.Now(), history.Notes)
	return history
}

// openShares lets requests of new slots start and returns what was opened.
func (d *Dispatcher) openShares(slots []int, hasGap bool) []*share {
	d.mu.Lock()
	defer d.mu.Unlock()
	var opened []*share
	for _, number := range slots {
		if s := d.shares[number]; s != nil && !s.isReady() {
			s.gap.Store(hasGap)
			close(s.ready)
			opened = append(opened, s)
		}
	}
	return opened
}

func closeGaps(shares []*share) {
	for _, s := range shares {
		s.gap.Store(false)
	}
}

// handOver is how long a dispatcher that does not answer may still believe in its lease. The host's
// lease has ended before it is marked down, but not that of its zone.
func (d *Dispatcher) handOver() time.Duration {
	if d.stays {
		return max(ctrl.HostLease, ZoneLease)
	}
	return ctrl.HostLease
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
	Reached  bool
	Draining bool
	Idle     bool
	Queued   int
	Running  int
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
		Running:  d.running,
	}
}

package disp

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/ctrl"
	"lovagelink.example/lovagelink/internal/pause"
)

// History is what the hosts know of earlier requests.
type History struct {
	Records     []Record
	Answered    map[string]bool // by host
	Missing     int             // hosts that did not answer or that have lost what they knew
	ZoneMissing bool            // no host of some zone has answered
}

// HistorySource collects what other hosts know of earlier requests. A host that is asked ends its own
// dispatcher of the upstream first, so that nothing is started behind the answer.
type HistorySource interface {
	CollectHistory(ctx context.Context, upstream string, epoch uint64, service string, slots []int) History
	FindHistory(ctx context.Context, r Request) History
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
	history := d.HistorySource.CollectHistory(ctx, d.upstream.ID, d.epoch, d.upstream.Service, slots)
	d.Dedup.Import(time.Now(), history.Records)
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
		return max(ctrl.HostLeaseDuration, ZoneLease)
	}
	return ctrl.HostLeaseDuration
}

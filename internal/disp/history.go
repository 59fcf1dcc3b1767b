package disp

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/ctrl"
	"lovagelink.example/lovagelink/internal/pause"
)

// History holds the hosts' records of earlier requests.
type History struct {
	Records     []Record
	Answered    map[string]bool // by host
	Missing     int             // hosts that did not reply or that may have lost records
	ZoneMissing bool            // no host of at least one zone replied
}

// HistorySource queries other hosts for their records of earlier requests. A queried host closes its own dispatcher of
// the upstream before it replies, so that no request starts after the reply.
type HistorySource interface {
	CollectHistory(ctx context.Context, upstream string, epoch uint64, service string, slots []int) History
	FindHistory(ctx context.Context, r Request) History
}

// maxMissingHosts is how many hosts may fail to reply without a loss of history, since two hosts have a record of each
// started request.
const maxMissingHosts = 1

// Back-off between queries for the history of new slots while too many hosts have not replied.
const (
	minHistoryRetry = 500 * time.Millisecond // doubles with each query
	maxHistoryRetry = 8 * time.Second
)

// isIncomplete reports whether requests may have been started that no host has reported.
func (h History) isIncomplete() bool { return h.Missing > maxMissingHosts }

// loadHistory opens new slots once their earlier non-idempotent requests are known and the previous dispatcher is
// certain to have stopped. If too many hosts do not reply, the slots are opened with an incomplete history, and the
// hosts are queried again until enough of them have replied.
func (d *Dispatcher) loadHistory(slots []int) error {
	ctx := d.tomb.Context(context.Background())
	startedAt := time.Now()
	history := d.collectHistory(ctx, slots)
	if d.previousDispatcher != "" && d.previousDispatcher != d.Host && !history.Answered[d.previousDispatcher] {
		pause.For(ctx, time.Until(startedAt.Add(d.previousLeaseDuration())))
		history = d.collectHistory(ctx, slots)
	}
	opened := d.openSlots(slots, history.isIncomplete())
	for wait := minHistoryRetry; history.isIncomplete() && d.tomb.Alive(); wait = min(2*wait, maxHistoryRetry) {
		pause.For(ctx, wait)
		history = d.collectHistory(ctx, slots)
	}
	if !history.isIncomplete() {
		markComplete(opened)
	}
	return nil
}

// collectHistory queries the other hosts and adds their records to the deduplication table.
func (d *Dispatcher) collectHistory(ctx context.Context, slots []int) History {
	history := d.HistorySource.CollectHistory(ctx, d.upstream.ID, d.epoch, d.upstream.Service, slots)
	d.Dedup.Import(time.Now(), history.Records)
	return history
}

// openSlots lets requests of new slots start and returns the slots that it opened.
func (d *Dispatcher) openSlots(slots []int, isIncomplete bool) []*ownedSlot {
	d.mu.Lock()
	defer d.mu.Unlock()
	var opened []*ownedSlot
	for _, number := range slots {
		if s := d.slots[number]; s != nil && !s.isReady() {
			s.incomplete.Store(isIncomplete)
			close(s.ready)
			opened = append(opened, s)
		}
	}
	return opened
}

func markComplete(opened []*ownedSlot) {
	for _, s := range opened {
		s.incomplete.Store(false)
	}
}

// previousLeaseDuration returns how long a previous dispatcher that does not reply may still hold a lease. The lease of
// a host expires before the host is marked down, but the lease of its zone may not have.
func (d *Dispatcher) previousLeaseDuration() time.Duration {
	if d.zoneBound {
		return max(ctrl.HostLeaseDuration, ZoneLease)
	}
	return ctrl.HostLeaseDuration
}

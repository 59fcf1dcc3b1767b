package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
)

// CollectHistory asks all hosts that are up what they know of earlier requests of some slots.
func (h *Host) CollectHistory(ctx context.Context, upstream string, epoch uint64, service string, slots []int) disp.History {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	history := disp.History{Answered: make(map[string]bool)}
	if h.isYoung(time.Now()) {
		history.Missing++
	}
	args := historyArgs{Upstream: upstream, Epoch: epoch, Service: service, Slots: slots}
	for _, answer := range askAll[historyReply](ctx, h, "history", args) {
		if answer.err != nil || answer.value.Young {
			history.Missing++
		}
		if answer.err == nil {
			history.Answered[answer.host] = true
			history.Records = append(history.Records, answer.value.Notes...)
		}
	}
	return history
}

// isYoung reports whether this host may have known of requests in an earlier life that it does not know
// of now.
func (h *Host) isYoung(now time.Time) bool {
	if h.restored.Load() || now.Sub(h.began) >= disp.KeepOutcomes {
		return false
	}
	isFirstLife := false
	h.feed.Read(func(s *state.State) {
		isFirstLife = s.IsFirstIncarnation(state.HostInstance{Host: h.settings.Name, Incarnation: h.incarnation})
	})
	return !isFirstLife
}

// bookBatch is how many records of the book go into one message.
const bookBatch = 500

// restoreTimeout bounds how long a host that starts waits for its part of the others' books.
const restoreTimeout = 3 * time.Second

// bookReply is a part of the records that a host has kept together with the one that asks.
type bookReply struct {
	Notes []disp.Record `json:"notes"`
	Next  uint64        `json:"next"`  // to go on behind, or 0 at the end
	Young bool          `json:"young"` // the host may have lost some of them by a restart
}

// restoreBook asks the other hosts for the exclusive requests that they knew together with this one, so that
// each is known to two hosts again. It reports whether all of them have answered and lost nothing themselves:
// what only this host and another one knew is gone if both were lost.
func (h *Host) restoreBook(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	var isPartial atomic.Bool
	var group sync.WaitGroup
	for _, host := range h.hub.Hosts() {
		group.Go(func() {
			if !h.restoreFrom(ctx, host) {
				isPartial.Store(true)
			}
		})
	}
	group.Wait()
	return !isPartial.Load()
}

// restoreFrom fetches the records that one host has kept; it reports false if some of them are missing.
func (h *Host) restoreFrom(ctx context.Context, host string) bool {
	after := uint64(0)
	for {
		reply, err := h.fetchBook(ctx, host, after)
		if err != nil {
			return false
		}
		h.book.Restore(time.Now(), host, reply.Notes)
		if reply.Next == 0 {
			return !reply.Young
		}
		after = reply.Next
	}
}

func (h *Host) fetchBook(ctx context.Context, host string, after uint64) (bookReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return peer.Call[bookReply](ctx, h.hub, host, "book", after)
}

// inheritArgs are records of a host that leaves, which another host knows too.
type inheritArgs struct {
	Other string        `json:"other"`
	Notes []disp.Record `json:"notes"`
}

// handOverBook gives what this host knows of exclusive requests to hosts that do not know of them, so that
// each goes on to be known to two.
func (h *Host) handOverBook(ctx context.Context) {
	heirs := append(h.witnesses(h.settings.Name), h.linked(func(host string) bool { return h.zones[host] != h.settings.Zone })...)
	for other, notes := range h.book.Shared() {
		for _, heir := range heirs {
			if heir != other && h.handOver(ctx, heir, other, notes) == nil {
				break
			}
		}
	}
}

// handOver gives records to one heir and tells the other host that knows them.
func (h *Host) handOver(ctx context.Context, heir, other string, notes []disp.Record) error {
	for batch := range slices.Chunk(notes, bookBatch) {
		if _, err := peer.Call[bool](ctx, h.hub, heir, "inherit", inheritArgs{Other: other, Notes: batch}); err != nil {
			return err
		}
	}
	if other != "" {
		_, _ = peer.Call[bool](ctx, h.hub, other, "reshare", heir) // one that is down has lost its records
	}
	return nil
}

// hasTrace reports whether an exclusive request may have been started by way of another host.
func (h *Host) hasTrace(p *parsed) bool {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	for _, answer := range askAll[traceReply](ctx, h, "trace", traceArgs{Service: p.Service, Slot: p.Slot, ID: p.ID}) {
		if answer.err != nil || answer.value.Known || answer.value.Young {
			return true
		}
	}
	_, known := h.book.Find(p.Service, p.Slot, p.ID)
	return known
}

// FindHistory asks all other hosts about one request.
func (h *Host) FindHistory(ctx context.Context, r disp.Request) disp.History {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	history := disp.History{Answered: make(map[string]bool)}
	for _, answer := range askAll[traceReply](ctx, h, "trace", traceArgs{Service: r.Service, Slot: r.Slot, ID: r.ID}) {
		if answer.err != nil {
			history.Missing++
			continue
		}
		history.Answered[answer.host] = true
		if answer.value.Young {
			history.Missing++
		}
		if answer.value.Known {
			history.Records = append(history.Records, answer.value.Note)
		}
	}
	history.ZoneMissing = h.missesZone(history.Answered)
	return history
}

// missesZone reports whether no host of some zone has answered.
func (h *Host) missesZone(answered map[string]bool) bool {
	heard := map[string]bool{h.settings.Zone: true}
	for host := range answered {
		heard[h.zones[host]] = true
	}
	for _, zone := range h.zones {
		if !heard[zone] {
			return true
		}
	}
	return false
}

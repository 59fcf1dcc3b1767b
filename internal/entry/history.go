package entry

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
)

// Collect asks all hosts that are up what they know of earlier requests of some slots.
func (h *Host) Collect(ctx context.Context, upstream string, epoch uint64, service string, slots []int) disp.History {
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
			history.Notes = append(history.Notes, answer.value.Notes...)
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
		isFirstLife = s.IsFirstLife(state.Holder{Host: h.settings.Name, Incarnation: h.incarnation})
	})
	return !isFirstLife
}

// restoreBook asks the other hosts for all that they know of exclusive requests, so that each one is
// known to two hosts again. It reports whether all of them have answered and lost nothing themselves:
// what only this host and another one knew is gone if both were lost.
func (h *Host) restoreBook(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	isWhole := true
	for _, answer := range askAll[historyReply](ctx, h, "book", struct{}{}) {
		if answer.err != nil || answer.value.Young {
			isWhole = false
		}
		h.book.Import(time.Now(), answer.value.Notes)
	}
	return isWhole
}

// handOverBook gives all that this host knows of exclusive requests to another one.
func (h *Host) handOverBook(ctx context.Context) {
	for _, host := range h.witnesses(h.settings.Name) {
		if _, err := peer.Call[bool](ctx, h.hub, host, "inherit", h.book.ExportAll()); err == nil {
			return
		}
	}
}

// hasTrace reports whether an exclusive request may have been started by way of another host.
func (h *Host) hasTrace(p *parsed) bool {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	for _, answer := range askAll[traceReply](ctx, h, "trace", traceArgs{Service: p.Service, ID: p.ID}) {
		if answer.err != nil || answer.value.Known || answer.value.Young {
			return true
		}
	}
	_, known := h.book.Find(p.Service, p.ID)
	return known
}

// Find asks all other hosts about one request.
func (h *Host) Find(ctx context.Context, service, id string) disp.History {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	history := disp.History{Answered: make(map[string]bool)}
	for _, answer := range askAll[traceReply](ctx, h, "trace", traceArgs{Service: service, ID: id}) {
		if answer.err != nil {
			history.Missing++
			continue
		}
		history.Answered[answer.host] = true
		if answer.value.Young {
			history.Missing++
		}
		if answer.value.Known {
			history.Notes = append(history.Notes, answer.value.Note)
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

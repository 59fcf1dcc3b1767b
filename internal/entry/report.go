package entry

import (
	"context"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/ctrl"
	"lovagelink.example/lovagelink/internal/state"
)

// reporter makes the heartbeats of a host.
type reporter struct {
	host *Host
}

// Report tells what the next heartbeat should say.
func (r *reporter) Report(now time.Time, withLoads bool) ctrl.Heartbeat {
	h := r.host
	beat := ctrl.Heartbeat{Zone: h.settings.Zone, Incarnation: h.incarnation}
	beat.Leaving = h.isLeaving()
	h.feed.Read(func(s *state.State) { beat.Announced = h.heard.unknown(now, s) })
	h.disps.Report(now, withLoads, &beat)
	return beat
}

// ReportLost tells the leader of a silent upstream.
func (h *Host) ReportLost(ctx context.Context, upstream string, epoch uint64) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	h.line.Add(time.Now(), "upstream-silent", upstream, "")
	_ = h.client.ReportLost(ctx, lostReport(upstream, epoch))
}

// ReportReleased tells the leader of slots that can be handed over.
func (h *Host) ReportReleased(ctx context.Context, service string, slots map[int]uint64) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_ = h.client.ReportReleased(ctx, releasedSlots(service, slots))
}

func lostReport(upstream string, epoch uint64) ctrl.LostReport {
	return ctrl.LostReport{Upstream: upstream, Epoch: epoch}
}

func releasedSlots(service string, slots map[int]uint64) []ctrl.ReleasedSlot {
	var released []ctrl.ReleasedSlot
	for slot, epoch := range slots {
		released = append(released, ctrl.ReleasedSlot{Service: service, Slot: slot, Epoch: epoch})
	}
	slices.SortFunc(released, func(a, b ctrl.ReleasedSlot) int { return a.Slot - b.Slot })
	return released
}

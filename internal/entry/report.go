package entry

import (
	"context"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/ctrl"
	"lovagelink.example/lovagelink/internal/state"
)

// reporter creates the heartbeats of a host.
type reporter struct {
	host *Host
}

// Report returns the next heartbeat.
func (r *reporter) Report(now time.Time, withLoads bool) ctrl.Heartbeat {
	h := r.host
	heartbeat := ctrl.Heartbeat{Zone: h.settings.Zone, Incarnation: h.incarnation}
	heartbeat.Leaving = h.isLeaving()
	h.store.Read(func(s *state.State) { heartbeat.Announced = h.announcements.missingFrom(now, s) })
	h.dispatchers.Report(now, withLoads, &heartbeat)
	return heartbeat
}

// ReportLost reports an unresponsive upstream to the leader.
func (h *Host) ReportLost(ctx context.Context, upstream string, epoch uint64) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	h.timeline.Add(time.Now(), "upstream-silent", upstream, "")
	_ = h.client.ReportLost(ctx, lostReport(upstream, epoch))
}

// ReportReleased reports slots to the leader that are ready to move to their next owner.
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

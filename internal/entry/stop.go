package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/state"
)

// Stop ends the host without cutting a request: its roles go to other hosts, then what is under
// way ends, then the links close.
func (h *Host) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopPatience)
	defer cancel()
	h.note("host-stopping", "", "")
	close(h.leaving)
	h.client.TriggerHeartbeat()
	h.awaitNoRoles(ctx)
	pause.For(ctx, leavePeriod)
	h.handOverBook(ctx)
	for _, server := range h.doors() {
		_ = server.Shutdown(ctx)
	}
	h.Kill()
}

func (h *Host) doors() []*http.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.servers)
}

// awaitNoRoles waits until other hosts have taken over and the work here has ended.
func (h *Host) awaitNoRoles(ctx context.Context) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		now := time.Now()
		hasLease := now.Before(h.client.LeaseUntil())
		hasNoRoles := len(h.disps.Health(now)) == 0 || !hasLease || h.isLastHost()
		if hasNoRoles && h.hopsIn.Load() == 0 && h.disps.Busy(now) == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// isLastHost reports whether no other host is left to take over.
func (h *Host) isLastHost() bool {
	others := 0
	h.feed.Read(func(s *state.State) {
		for name, host := range s.Hosts {
			if host.Up && name != h.settings.Name {
				others++
			}
		}
	})
	return others == 0
}

// Kill ends the host at once, as a crash would.
func (h *Host) Kill() {
	h.tomb.Kill(nil)
	for _, server := range h.doors() {
		_ = server.Close()
	}
	h.disps.Stop()
	h.client.Stop()
	if h.leader != nil {
		h.leader.Stop()
	}
	h.hub.Stop()
	h.hop.client.CloseIdleConnections()
}

package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/verd"
)

// Stop stops the host gracefully: its roles move to other hosts, requests in progress end, its records of requests are
// handed over, and then the connections are closed.
func (h *Host) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	defer time.AfterFunc(stopTimeout-closingTime, h.endRequests).Stop()
	h.recordEvent("host-stopping", "", "")
	close(h.leaving)
	h.client.TriggerHeartbeat()
	h.awaitHandover(ctx)
	pause.For(ctx, connDrainPeriod)
	h.handOverRecords(ctx)
	for _, server := range h.listServers() {
		_ = server.Shutdown(ctx)
	}
	h.Kill()
}

func (h *Host) listServers() []*http.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.servers)
}

// awaitHandover waits until other hosts have taken over the roles of this host and its requests have ended. It does
// not wait for the roles of a host that has no lease or is the last one up.
func (h *Host) awaitHandover(ctx context.Context) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		now := time.Now()
		hasLease := now.Before(h.client.LeaseUntil())
		hasNoRolesToMove := len(h.dispatchers.Health(now)) == 0 || !hasLease || h.isLastHost()
		if hasNoRolesToMove && h.remoteRequests.Load() == 0 && h.dispatchers.Busy(now) == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// isLastHost reports whether no other host is up that could take over.
func (h *Host) isLastHost() bool {
	others := 0
	h.store.Read(func(s *state.State) {
		for name, host := range s.Hosts {
			if host.Up && name != h.settings.Name {
				others++
			}
		}
	})
	return others == 0
}

// outcomeTime is how long a request has to end by itself once this host closes.
const outcomeTime = 200 * time.Millisecond

// forwardUntilClosing forwards a request, and ends it once this host closes. A request that has not been sent ends at
// once; one that an upstream may be running can't be taken back, so that the caller is told that it may have run.
func (h *Host) forwardUntilClosing(ctx context.Context, p *parsedRequest) disp.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(h.closing, cancel)
	outcomes := make(chan disp.Outcome, 1)
	go func() {
		defer cancel()
		defer stop()
		outcomes <- h.forward(ctx, p)
	}()
	select {
	case outcome := <-outcomes:
		return outcome
	case <-h.closing.Done():
	}
	timer := time.NewTimer(outcomeTime)
	defer timer.Stop()
	select {
	case outcome := <-outcomes:
		return outcome
	case <-timer.C:
	}
	_ = h.logger.Log("event", "request-ended", "id", p.ID, "service", p.Service, "verdict", verd.MayHaveRun, "reason", "this host is stopping")
	return disp.Outcome{Verdict: verd.MayHaveRun, Status: http.StatusGatewayTimeout, Reason: "this host is stopping, and the upstream has not responded"}
}

// Kill stops the host immediately, as a crash would.
func (h *Host) Kill() {
	h.tomb.Kill(nil)
	for _, server := range h.listServers() {
		_ = server.Close()
	}
	h.dispatchers.Stop()
	h.client.Stop()
	if h.controller != nil {
		h.controller.Stop()
	}
	h.endpoint.Stop()
	h.remote.client.CloseIdleConnections()
}

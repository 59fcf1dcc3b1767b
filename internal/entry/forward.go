package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/place"
	"lovagelink.example/lovagelink/pkg/verd"
)

// Back-off, margins and timeouts of forwarding.
const (
	initialBackoff = 10 * time.Millisecond // doubles with each retry, up to maxBackoff
	maxBackoff     = 160 * time.Millisecond
	responseMargin = 30 * time.Millisecond // reserved for the response to reach the caller before its deadline
	refusalMargin  = 20 * time.Millisecond // reserved for a dispatcher's refusal to arrive before the deadline
	historyTimeout = 200 * time.Millisecond
)

// forward sends a request to the dispatcher of its slot's owner. Until the deadline it retries the request while the
// outcome permits another attempt. A non-idempotent request that may have run is sent again only as a possible
// repeat, so that the dispatcher looks for an earlier attempt with the same request id first.
func (h *Host) forward(ctx context.Context, p *parsedRequest) disp.Outcome {
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	h.retryBudget.deposit()
	backoff := initialBackoff
	mayHaveRun := p.Idempotent && !p.isFirst // earlier outcomes of idempotent requests are not recorded
	for {
		changed := h.store.Changed()
		outcome := h.attemptOnce(ctx, p)
		if !outcome.Retry || !h.mayRetry(outcome) {
			return finalOutcome(outcome, mayHaveRun)
		}
		if outcome.Verdict == verd.MayHaveRun {
			mayHaveRun = true
			p.OverdueRetry = true
			p.MaybeSent = !p.Idempotent
		}
		if !awaitRetry(ctx, changed, backoff) {
			return h.deadlineOutcome(p, outcome, mayHaveRun)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// mayRetry reports whether a request may be retried. A retry of a request that may have reached an upstream
// withdraws a token from the retry budget.
func (h *Host) mayRetry(outcome disp.Outcome) bool {
	if outcome.Verdict == verd.NotRun && outcome.Header == nil {
		return true
	}
	return h.retryBudget.withdraw()
}

// finalOutcome returns the outcome for the caller. It replaces not-run by may-have-run if any attempt may have
// run.
func finalOutcome(outcome disp.Outcome, mayHaveRun bool) disp.Outcome {
	if mayHaveRun && outcome.Verdict == verd.NotRun {
		outcome.Verdict = verd.MayHaveRun
	}
	return outcome
}

// awaitRetry waits until the state changes or the back-off ends; it reports false if ctx is done.
func awaitRetry(ctx context.Context, changed <-chan struct{}, backoff time.Duration) bool {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}

// deadlineOutcome returns the outcome of a request whose deadline passes before an attempt succeeds. The last
// refusal covers only the attempts made here; if the caller may have sent a non-idempotent request before, the
// other hosts are asked for a record of it.
func (h *Host) deadlineOutcome(p *parsedRequest, outcome disp.Outcome, mayHaveRun bool) disp.Outcome {
	outcome.Status = http.StatusServiceUnavailable
	outcome.RetryAfter = time.Second
	if !p.Idempotent && !p.isFirst && !mayHaveRun {
		mayHaveRun = h.mayHaveStarted(p)
	}
	return finalOutcome(outcome, mayHaveRun)
}

// attemptOnce makes one attempt: through a dispatcher on this host, through the dispatcher on another host, or
// relayed by a third host if this host can't reach the dispatcher.
func (h *Host) attemptOnce(ctx context.Context, p *parsedRequest) disp.Outcome {
	upstream, host := h.lookup(p.Service, p.Slot)
	isZoneLocal := h.isZoneLocal(time.Now(), p)
	if isZoneLocal {
		upstream, host = h.lookupInZone(time.Now(), p)
	}
	if host == "" {
		return disp.Outcome{
			Verdict: verd.NotRun, Status: http.StatusServiceUnavailable, Retry: true,
			Reason: "no upstream serves the key at present",
		}
	}
	r := p.Request
	r.Upstream = upstream
	r.AnyUpstream = isZoneLocal
	r.Token = newToken()
	r.Age = p.age(time.Now())
	r.Left = time.Until(p.deadline) - refusalMargin
	h.attempts.register(r.Token, nil)
	if host == h.settings.Name {
		outcome := h.dispatchers.Run(ctx, r)
		h.attempts.withdraw(r.Token)
		p.recordNotRun(r, outcome)
		return outcome
	}
	if h.endpoint.CanReach(time.Now(), host) && h.remote.canReach(time.Now(), host) {
		return h.attemptRemote(ctx, p, host, r)
	}
	h.attempts.withdraw(r.Token)
	if p.isRelayed {
		return unreachableOutcome()
	}
	return h.relay(ctx, p, host)
}

// relay sends a request through another entry host to a dispatcher that this host can't reach directly.
func (h *Host) relay(ctx context.Context, p *parsedRequest, host string) disp.Outcome {
	via := place.Best(p.ID, slices.DeleteFunc(h.reachableHosts(func(string) bool { return true }), func(name string) bool {
		return name == host
	}))
	if via == "" {
		return unreachableOutcome()
	}
	r := p.Request
	r.Age = p.age(time.Now())
	r.Left = time.Until(p.deadline) - refusalMargin
	outcome, err := peer.Call[disp.Outcome](ctx, h.endpoint, via, "detour", r)
	if err != nil {
		return connLostOutcome("the link to the host in between was lost")
	}
	return outcome
}

// serveRelay makes one attempt on behalf of another entry host, which relays a request through this host.
func (h *Host) serveRelay(ctx context.Context, _ string, r disp.Request) (disp.Outcome, error) {
	now := time.Now()
	p := &parsedRequest{
		Request: r, isFirst: r.Age == 0, firstSentAt: now.Add(-r.Age), deadline: now.Add(r.Left), isRelayed: true,
	}
	p.Origin = h.settings.Name
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	return h.attemptOnce(ctx, p), nil
}

// reachableHosts returns the wanted hosts that this host can reach.
func (h *Host) reachableHosts(isWanted func(host string) bool) []string {
	var names []string
	now := time.Now()
	for _, host := range h.endpoint.Hosts() {
		if h.endpoint.CanReach(now, host) && isWanted(host) {
			names = append(names, host)
		}
	}
	return names
}

func unreachableOutcome() disp.Outcome {
	return disp.Outcome{
		Verdict: verd.NotRun, Status: http.StatusServiceUnavailable, Retry: true,
		Reason: "the dispatcher could not be reached",
	}
}

// attemptRemote makes an attempt through the dispatcher on another host, and records its outcome if the attempt
// was recorded as started.
func (h *Host) attemptRemote(ctx context.Context, p *parsedRequest, host string, r disp.Request) disp.Outcome {
	h.stats.Forwarded.Add(1)
	outcome, isStarted, err := h.runOn(ctx, host, r)
	if err == nil {
		p.recordNotRun(r, outcome)
	}
	if err == nil && isStarted {
		h.recordOutcome(r, outcome)
	}
	return outcome
}

// runOn runs an attempt that is registered here through the dispatcher on another host. If err is not nil, no
// response arrived, and the outcome says whether the request may have run. isStarted reports whether the
// dispatcher asked this host to start the attempt, which also recorded the start.
func (h *Host) runOn(ctx context.Context, host string, r disp.Request) (outcome disp.Outcome, isStarted bool, err error) {
	outcome, err = h.remote.run(ctx, host, r)
	isStarted = h.attempts.withdraw(r.Token)
	switch {
	case err == nil:
		return outcome, isStarted, nil
	case r.Idempotent:
		return connLostOutcome("the link to the dispatcher was lost"), isStarted, err
	case isStarted:
		return connLostOutcome("the link to the dispatcher was lost after the request was sent"), isStarted, err
	}
	return unreachableOutcome(), isStarted, err
}

func connLostOutcome(reason string) disp.Outcome {
	return disp.Outcome{Verdict: verd.MayHaveRun, Status: http.StatusBadGateway, Retry: true, Reason: reason}
}

// age returns the time since the caller sent the request for the first time. It grows while the request waits
// here, so that a dispatcher never considers an old request to be younger than the dispatcher itself.
func (p *parsedRequest) age(now time.Time) time.Duration {
	if p.isFirst {
		return 0
	}
	return now.Sub(p.firstSentAt)
}

// recordNotRun records an attempt that has not run, so that a later dispatcher does not treat it as one that may
// have run, and the upstream that did not run it.
func (p *parsedRequest) recordNotRun(r disp.Request, outcome disp.Outcome) {
	if outcome.Verdict == verd.NotRun && !p.Idempotent {
		p.NotRunTokens = append(p.NotRunTokens, r.Token)
	}
	if outcome.Verdict == verd.NotRun && !slices.Contains(p.refusedBy, r.Upstream) {
		p.refusedBy = append(p.refusedBy, r.Upstream)
	}
}

// lookup returns the owner of a slot and the host that dispatches for that upstream.
func (h *Host) lookup(service string, slot int) (upstream, host string) {
	h.store.Read(func(s *state.State) {
		table := s.Tables[service]
		if table == nil || slot >= len(table.Slots) {
			return
		}
		u := s.Upstreams[table.Slots[slot].Owner]
		if u == nil {
			return
		}
		upstream, host = u.ID, u.Dispatcher
	})
	return upstream, host
}

// newToken returns a random token, for an attempt, a request id or an incarnation, that is used nowhere else.
func newToken() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// IsDispatcherFor reports whether this host dispatches for a key of a service.
func (h *Host) IsDispatcherFor(service, key string) bool {
	slots := 0
	h.store.Read(func(s *state.State) {
		if table := s.Tables[service]; table != nil {
			slots = len(table.Slots)
		}
	})
	if slots == 0 {
		return false
	}
	_, host := h.lookup(service, place.Slot(key, slots))
	return host == h.settings.Name
}

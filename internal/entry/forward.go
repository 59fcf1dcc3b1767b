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

// Periods of forwarding.
const (
	retryPause   = 10 * time.Millisecond // doubles with each retry
	maxPause     = 160 * time.Millisecond
	answerMargin = 30 * time.Millisecond // for the last answer to reach the caller in time
	replyMargin  = 20 * time.Millisecond // for a dispatcher's refusal to come before the deadline
	askTimeout   = 200 * time.Millisecond
)

// forward brings a request to the dispatcher of its slot's owner, again and again within its
// deadline as long as it is sure that it did not run or may run twice.
func (h *Host) forward(ctx context.Context, p *parsed) disp.Outcome {
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	h.retries.earn()
	pause := retryPause
	mayHaveRun := p.Idempotent && !p.isFirst // nobody keeps what became of work that may run twice
	for {
		changed := h.feed.Changed()
		outcome := h.try(ctx, p)
		if !outcome.Retry || !h.mayRetry(outcome) {
			return final(outcome, mayHaveRun)
		}
		if outcome.Verdict == verd.MayHaveRun {
			mayHaveRun = true
			p.OverdueRetry = true
			p.MaybeSent = !p.Idempotent
		}
		if !awaitRetry(ctx, changed, pause) {
			return h.giveUp(p, outcome, mayHaveRun)
		}
		pause = min(2*pause, maxPause)
	}
}

// mayRetry charges retries of what has reached an upstream to the budget.
func (h *Host) mayRetry(outcome disp.Outcome) bool {
	if outcome.Verdict == verd.NotRun && outcome.Header == nil {
		return true
	}
	return h.retries.spend()
}

// final keeps an outcome from claiming more than all attempts together allow.
func final(outcome disp.Outcome, mayHaveRun bool) disp.Outcome {
	if mayHaveRun && outcome.Verdict == verd.NotRun {
		outcome.Verdict = verd.MayHaveRun
	}
	return outcome
}

func awaitRetry(ctx context.Context, changed <-chan struct{}, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}

// giveUp answers when the time is over. The last refusal tells only of this request; for one that
// the caller may have sent before, the other hosts are asked.
func (h *Host) giveUp(p *parsed, outcome disp.Outcome, mayHaveRun bool) disp.Outcome {
	outcome.Status = http.StatusServiceUnavailable
	outcome.RetryAfter = time.Second
	if !p.Idempotent && !p.isFirst && !mayHaveRun {
		mayHaveRun = h.hasTrace(p)
	}
	return final(outcome, mayHaveRun)
}

// try makes one attempt.
func (h *Host) try(ctx context.Context, p *parsed) disp.Outcome {
	upstream, host := h.lookup(p.Service, p.Slot)
	isLocal := h.goesLocal(time.Now(), p)
	if isLocal {
		upstream, host = h.lookupLocal(time.Now(), p)
	}
	if host == "" {
		return disp.Outcome{
			Verdict: verd.NotRun, Status: http.StatusServiceUnavailable, Retry: true,
			Reason: "no upstream serves the key at present",
		}
	}
	r := p.Request
	r.Upstream = upstream
	r.AnyUpstream = isLocal
	r.Token = newToken()
	r.Age = p.age(time.Now())
	r.Left = time.Until(p.deadline) - replyMargin
	h.attempts.open(r.Token, nil)
	if host == h.settings.Name {
		outcome := h.disps.Run(ctx, r)
		h.attempts.withdraw(r.Token)
		p.clear(r, outcome)
		return outcome
	}
	if h.hub.CanReach(time.Now(), host) && h.hop.canReach(time.Now(), host) {
		return h.tryRemote(ctx, p, host, r)
	}
	h.attempts.withdraw(r.Token)
	if p.isDetour {
		return unreachable()
	}
	return h.detour(ctx, p, host)
}

// detour has another entry host carry a request to a dispatcher that this one has no link to.
func (h *Host) detour(ctx context.Context, p *parsed, host string) disp.Outcome {
	via := place.Best(p.ID, slices.DeleteFunc(h.linked(func(string) bool { return true }), func(name string) bool {
		return name == host
	}))
	if via == "" {
		return unreachable()
	}
	r := p.Request
	r.Age = p.age(time.Now())
	r.Left = time.Until(p.deadline) - replyMargin
	outcome, err := peer.Call[disp.Outcome](ctx, h.hub, via, "detour", r)
	if err != nil {
		return linkLost("the link to the host in between was lost")
	}
	return outcome
}

// serveDetour carries a request of another entry host.
func (h *Host) serveDetour(ctx context.Context, _ string, r disp.Request) (disp.Outcome, error) {
	now := time.Now()
	p := &parsed{
		Request: r, isFirst: r.Age == 0, sentAt: now.Add(-r.Age), deadline: now.Add(r.Left), isDetour: true,
	}
	p.Origin = h.settings.Name
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	return h.try(ctx, p), nil
}

// linked lists the hosts that this one can reach.
func (h *Host) linked(isWanted func(host string) bool) []string {
	var names []string
	now := time.Now()
	for _, host := range h.hub.Hosts() {
		if h.hub.CanReach(now, host) && isWanted(host) {
			names = append(names, host)
		}
	}
	return names
}

func unreachable() disp.Outcome {
	return disp.Outcome{
		Verdict: verd.NotRun, Status: http.StatusServiceUnavailable, Retry: true,
		Reason: "the dispatcher could not be reached",
	}
}

// tryRemote makes an attempt through another host's dispatcher.
func (h *Host) tryRemote(ctx context.Context, p *parsed, host string, r disp.Request) disp.Outcome {
	h.stats.Forwarded.Add(1)
	outcome, isNoted, err := h.runAt(ctx, host, r)
	if err == nil {
		p.clear(r, outcome)
	}
	if err == nil && isNoted {
		h.noteOutcome(r, outcome)
	}
	return outcome
}

// runAt has the dispatcher on another host carry out an attempt that is open here. With an error the
// outcome says what the lost answer means; isNoted tells whether the attempt was started and noted here.
func (h *Host) runAt(ctx context.Context, host string, r disp.Request) (outcome disp.Outcome, isNoted bool, err error) {
	outcome, err = h.hop.run(ctx, host, r)
	isNoted = h.attempts.withdraw(r.Token)
	switch {
	case err == nil:
		return outcome, isNoted, nil
	case r.Idempotent:
		return linkLost("the link to the dispatcher was lost"), isNoted, err
	case isNoted:
		return linkLost("the link to the dispatcher was lost after the request was sent"), isNoted, err
	}
	return unreachable(), isNoted, err
}

func linkLost(reason string) disp.Outcome {
	return disp.Outcome{Verdict: verd.MayHaveRun, Status: http.StatusBadGateway, Retry: true, Reason: reason}
}

// age is how long ago the caller sent the request for the first time. It grows while the request
// waits here, so that a dispatcher never takes an old request for one that is newer than itself.
func (p *parsed) age(now time.Time) time.Duration {
	if p.isFirst {
		return 0
	}
	return now.Sub(p.sentAt)
}

// clear notes that an attempt has not run, so that a later dispatcher does not take it for one that
// may have run, and which upstream has not run it.
func (p *parsed) clear(r disp.Request, outcome disp.Outcome) {
	if outcome.Verdict == verd.NotRun && !p.Idempotent {
		p.NotRunTokens = append(p.NotRunTokens, r.Token)
	}
	if outcome.Verdict == verd.NotRun && !slices.Contains(p.refusedBy, r.Upstream) {
		p.refusedBy = append(p.refusedBy, r.Upstream)
	}
}

// lookup returns the owner of a slot and the host that dispatches for it.
func (h *Host) lookup(service string, slot int) (upstream, host string) {
	h.feed.Read(func(s *state.State) {
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

// newToken returns a name that no other attempt has.
func newToken() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// IsDispatcherFor reports whether this host dispatches for a key of a service.
func (h *Host) IsDispatcherFor(service, key string) bool {
	slots := 0
	h.feed.Read(func(s *state.State) {
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

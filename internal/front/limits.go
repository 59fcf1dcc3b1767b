package front

import (
	"context"
	"math/rand/v2"
	"time"

	"lovagelink.example/lovagelink/internal/admit"
	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/core"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/quota"
	"lovagelink.example/lovagelink/internal/realm"
)

// Timing of the questions to the control host that counts the requests to an upstream with a limit.
const (
	spendTimeout       = 150 * time.Millisecond // a round trip between zones takes a few milliseconds
	spendRetryInterval = time.Second            // after a failure this host uses its own share for so long
)

// limitState is what this host knows of the limit of an upstream. The zero value is that of an upstream without one.
type limitState struct {
	dryUntil time.Time // no request of dryRank or a less urgent rank may be sent before
	dryRank  int
	share    *quota.Share // nil unless the counting host could not be reached
}

// limit returns the requests per second that the upstream takes from all hosts together, and whether it has named a limit.
func (u *upstream) limit() (float64, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	limit, ok := u.notices.Limit()
	return max(limit, quota.MinRate), ok // the state has 0 for an upstream without a limit
}

// recordLimit records whether a response to a request that was sent at sentAt names a limit. It reports whether that
// changes the limit.
func (u *upstream) recordLimit(sentAt, now time.Time, info calls.ResponseInfo) bool {
	if !info.HasLimit && (info.Unreadable != "" || !info.IsSigned) {
		return false // the upstream may have tried to name one
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.notices.RecordLimit(sentAt, now, info.Limit, info.HasLimit)
}

// dryFor returns how much longer no request of a rank may be sent to the upstream, because of its limit.
func (u *upstream) dryFor(now time.Time, rank int) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.notices.Limit(); !ok || rank < u.limited.dryRank {
		return 0
	}
	return max(0, u.limited.dryUntil.Sub(now))
}

// recordAnswer records the answer of the counting host.
func (u *upstream) recordAnswer(now time.Time, rank int, answer quota.Answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limited.share = nil
	if !answer.OK {
		u.limited.dryUntil, u.limited.dryRank = now.Add(answer.Next), rank
	}
}

// spendAlone withdraws a request from this host's own share of the limit.
func (u *upstream) spendAlone(now time.Time, rank int, limit float64, hosts int) quota.Answer {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limited.share == nil {
		u.limited.share = quota.NewShare(now, rand.Float64())
	}
	answer := u.limited.share.Take(now, limit, hosts)
	if !answer.OK { // by then the counting host is asked again
		u.limited.dryUntil, u.limited.dryRank = now.Add(min(answer.Next, spendRetryInterval)), rank
	}
	return answer
}

// spend asks whether a request may be sent to an upstream that has named a limit.
func (f *Front) spend(ctx context.Context, c *call, u *upstream) quota.Answer {
	limit, ok := u.limit()
	if !ok {
		return quota.Answer{OK: true}
	}
	now, rank := time.Now(), c.route.Rank
	if dry := u.dryFor(now, rank); dry > 0 {
		// Callers that come back at the same time would be refused again.
		return quota.Answer{Next: dry, Retry: dry + time.Duration(rand.Float64()/limit*float64(time.Second))}
	}
	host := f.countingHost(now, u)
	if host != "" {
		callCtx, cancel := context.WithTimeout(ctx, spendTimeout)
		answer, err := peer.Call[quota.Answer](callCtx, f.endpoint, host, "spend", core.SpendRequest{Upstream: u.registration.Instance, Limit: limit, Rank: rank})
		cancel()
		if err == nil {
			u.recordAnswer(time.Now(), rank, answer)
			return answer
		}
		if ctx.Err() != nil {
			return quota.Answer{}
		}
		f.recordUncounted(time.Now(), host, err)
	}
	f.mu.Lock()
	hosts := f.hostCount
	f.mu.Unlock()
	return u.spendAlone(time.Now(), rank, limit, hosts)
}

// countingHost returns the control host that counts the requests to an upstream, or an empty name if that is not known or
// has failed lately.
func (f *Front) countingHost(now time.Time, u *upstream) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	host := quota.CountingHost(u.registration.ID, u.registration.Zone, f.countingHosts)
	if now.Sub(f.uncountedAt[host]) < spendRetryInterval {
		return ""
	}
	return host
}

// recordUncounted records that a control host could not be asked.
func (f *Front) recordUncounted(now time.Time, host string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.uncountedAt[host]) < spendRetryInterval {
		return
	}
	f.uncountedAt[host] = now
	_ = f.logger.Log("event", "limit-not-counted", "control", host, "reason", err)
}

// setControlHosts records the list of control hosts, which count the requests to upstreams with a limit. The caller holds
// f.mu.
func (f *Front) setControlHosts(members []core.Member) {
	f.countingHosts = make([]quota.Host, 0, len(members))
	for _, member := range members {
		f.countingHosts = append(f.countingHosts, quota.Host{Name: member.Name, Zone: member.Zone})
	}
	clear(f.uncountedAt)
}

// learnLimit records the limit that other hosts were told.
func (u *upstream) learnLimit(now time.Time, limit float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.notices.LearnLimit(now, limit)
}

// reportLimit makes the next reports tell the control hosts of the limit of an upstream, or of its end.
func (f *Front) reportLimit(instance realm.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreportedLimits[instance] = true
}

// changedLimits returns the limits to be reported: those that the state does not hold yet. The caller holds f.mu.
func (f *Front) changedLimits(view *View) (changes []realm.LimitChange) {
	for instance := range f.unreportedLimits {
		u, state := f.upstreams[instance], view.Upstream(instance.ID)
		if u == nil || state == nil || state.Instance != instance {
			delete(f.unreportedLimits, instance)
			continue
		}
		limit, ok := u.limit()
		if !ok {
			limit = 0
		}
		if admit.IsSameLimit(limit, state.Limit) {
			delete(f.unreportedLimits, instance)
			continue
		}
		changes = append(changes, realm.LimitChange{Instance: instance, Limit: limit})
	}
	return changes
}

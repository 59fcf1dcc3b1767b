package front

import (
	"context"
	"math/rand/v2"
	"time"

	"lovagelink.example/lovagelink/internal/admit"
	"lovagelink.example/lovagelink/internal/core"
	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/realm"
)

// Timing of the follow and report calls. A control host responds to a follow call within a second, with or without an
// update. This host turns to the next control host if the current one sends nothing for longer, well within the time in
// which a change must be in force.
const (
	FollowTime          = 1200 * time.Millisecond // time within which a healthy control host responds
	followTimeout       = 1400 * time.Millisecond
	followRetryInterval = 50 * time.Millisecond
	reportInterval      = 500 * time.Millisecond // busy keys change within seconds
	reportTimeout       = 500 * time.Millisecond
	maxReportTries      = 3
	latencyRounds       = 8 // one report in this many includes the upstreams' latencies, which change less than the load
)

// received is the outcome of a follow call.
type received struct {
	reply  core.FollowReply
	update realm.Update
	bytes  int64
	took   time.Duration
}

// follow keeps the view up to date from one control host. It turns to the next control host when a call fails or the
// current one has no contact with the leader.
func (f *Front) follow() error {
	ctx := f.tomb.Context(context.Background())
	isControlLost := false
	since := uint64(0)
	for f.tomb.Alive() {
		source := f.pickSource(time.Now())
		r, err := f.fetch(ctx, source, since)
		f.leaderReachable.Store(err == nil && r.reply.LeaderReachable)
		if err != nil || !r.reply.LeaderReachable {
			f.stats.UpdatesFailed.Add(1)
			if f.tomb.Alive() && !isControlLost {
				_ = f.logger.Log("event", "control-lost", "source", source, "index", since, "received", r.bytes, "took", r.took, "reason", err)
				isControlLost = true
			}
			f.mu.Lock()
			f.sources.MarkFailed(time.Now(), source)
			f.mu.Unlock()
			pause.For(ctx, followRetryInterval)
			continue
		}
		if isControlLost {
			_ = f.logger.Log("event", "control-regained", "source", source, "index", r.update.Index)
			isControlLost = false
		}
		since = f.applyReply(source, since, r)
	}
	return nil
}

// fetch requests the changes since an index from a control host.
func (f *Front) fetch(ctx context.Context, source string, since uint64) (r received, err error) {
	start, bytesBefore := time.Now(), f.endpoint.Received(source)
	request := core.FollowRequest{Since: since, Encoded: true, Hosts: f.hostsMark}
	r.reply, err = peer.CallWhileReceiving[core.FollowReply](ctx, f.endpoint, source, "follow", request, followTimeout)
	r.bytes, r.took = f.endpoint.Received(source)-bytesBefore, time.Since(start)
	f.stats.UpdateBytes.Add(r.bytes)
	if err != nil || !r.reply.LeaderReachable {
		return r, err
	}
	r.update, err = r.reply.Decode()
	return r, err
}

// applyReply applies a reply and returns the index from which to request the next changes.
func (f *Front) applyReply(source string, since uint64, r received) uint64 {
	start := time.Now()
	f.followed.Store(source)
	if len(r.reply.Members) > 0 {
		f.hostsMark = r.reply.Hosts
		f.mu.Lock()
		for _, member := range r.reply.Members {
			f.sources.Add(member)
		}
		f.setControlHosts(r.reply.Members)
		f.mu.Unlock()
	}
	old := f.view.Load()
	base := old
	if since == 0 {
		base = &View{}
	}
	next, err := base.With(start, r.update)
	switch {
	case err != nil:
		_ = f.logger.Log("event", "update-refused", "source", source, "since", since, "index", r.update.Index, "reason", err)
		return 0 // the whole state
	case next.Index <= old.Index:
		return old.Index
	}
	f.setView(start, next, old, r.update.Upstreams)
	if next.Table != nil && next.Table != old.Table {
		_ = f.logger.Log("event", "config-in-force", "version", next.Table.Config.Version, "index", next.Index, "source", source,
			"received", r.bytes, "took", r.took, "applied-in", time.Since(start))
	}
	return next.Index
}

// pickSource returns the control host to follow next.
func (f *Front) pickSource(now time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.Pick(now)
}

func (f *Front) controlHosts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.Names()
}

// setView makes a view the current one, and closes the connections to those of the changed upstreams that have ended.
func (f *Front) setView(now time.Time, next, old *View, changed []realm.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.Store(next)
	close(f.changed)
	f.changed = make(chan struct{})
	for _, u := range changed {
		former := old.Upstream(u.ID)
		if former != nil && !next.has(former.Instance) {
			f.forget(former.Instance)
		}
		if known := f.upstreams[u.Instance]; known != nil && former != nil && former.Instance == u.Instance && former.Limit != u.Limit {
			known.learnLimit(now, u.Limit)
		}
	}
}

// forget closes the connections to an instance of an upstream that has ended. The caller holds f.mu.
func (f *Front) forget(instance realm.Instance) {
	if u := f.upstreams[instance]; u != nil {
		u.close()
		delete(f.upstreams, instance)
	}
}

// forgetEnded closes the connections to all instances that have ended. Requests that were routed by an earlier view may
// have opened some since the instance ended.
func (f *Front) forgetEnded() {
	view := f.view.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	for instance := range f.upstreams {
		if !view.has(instance) {
			f.forget(instance)
		}
	}
}

// viewChange returns a channel that closes when the view changes.
func (f *Front) viewChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// upstreamFor returns the entry for an instance of an upstream, and creates the entry if there is none.
func (f *Front) upstreamFor(registration realm.Upstream) *upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstreams[registration.Instance]
	if u == nil {
		u = newUpstream(registration)
		f.upstreams[registration.Instance] = u
	}
	return u
}

// report sends the request counts and upstream latencies to the control host that this host follows, which passes them
// on to the leader, and replies with the number of entry hosts.
func (f *Front) report() error {
	ctx := f.tomb.Context(context.Background())
	for round := 0; f.tomb.Alive(); round++ {
		pause.For(ctx, reportInterval)
		f.forgetEnded()
		f.sendReport(ctx, f.takeCounts(round%latencyRounds == 0))
	}
	return nil
}

// takeCounts returns the counts since the last call, and the upstreams' latencies if they are wanted.
func (f *Front) takeCounts(withLatencies bool) core.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := core.Report{Loads: f.keyCounts, ServiceTimes: make(map[string]keyed.ServiceTime)}
	f.keyCounts = make(map[string]map[int]int)
	report.Limits = f.changedLimits(f.view.Load())
	if withLatencies {
		for instance, u := range f.upstreams {
			if measured := u.takeServiceTime(); measured.Samples > 0 {
				report.ServiceTimes[instance.ID] = measured
			}
		}
	}
	return report
}

// sendReport sends a report to the followed control host, or to another one that it names. If none accepts the report,
// its counts are lost.
func (f *Front) sendReport(ctx context.Context, report core.Report) {
	target, _ := f.followed.Load().(string)
	for range maxReportTries {
		if target == "" {
			controls := f.controlHosts()
			target = controls[rand.IntN(len(controls))]
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		reply, err := peer.Call[core.ReportReply](callCtx, f.endpoint, target, "report", report)
		cancel()
		if err == nil && reply.OK {
			f.setHostCount(reply.Hosts)
			return
		}
		target = reply.Leader // empty after an error
	}
}

// setHostCount divides the retry slack, which is for all entry hosts together, by their number.
func (f *Front) setHostCount(hosts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if hosts == 0 {
		return
	}
	f.hostCount = hosts
	for _, budget := range f.budgets {
		budget.Share(float64(f.site.Bounds.RetrySlack) / float64(f.hostCount))
	}
}

// retryBudget returns the retry budget of a service. The caller holds f.mu.
func (f *Front) retryBudget(service string) *admit.RetryBudget {
	b := f.budgets[service]
	if b == nil {
		b = admit.NewRetryBudget(f.site.Bounds.RetryRatio, f.site.Bounds.RetryWindow, float64(f.site.Bounds.RetrySlack)/float64(f.hostCount))
		f.budgets[service] = b
	}
	return b
}

// mayRetry withdraws one retry from the budget of a service, and reports whether the budget allows the retry.
func (f *Front) mayRetry(now time.Time, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retryBudget(service).TryRetry(now)
}

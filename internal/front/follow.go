package front

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/admit"
	"lovagelink.example/lovagelink/internal/core"
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/realm"
)

// Following: a control host answers within a second, with something new or with nothing. One that is silent for longer
// is left for the next one, well within the time in which a change must be in force.
const (
	FollowTime  = 1200 * time.Millisecond // in which a control host in order has answered
	followLimit = 1400 * time.Millisecond
	followGap   = 50 * time.Millisecond
	reportGap   = time.Second
	reportLimit = 500 * time.Millisecond
	speedTurns  = 4 // reports of which one tells how fast upstreams are, which changes less than the load
)

// follow keeps the view up to date from one control host, and goes on to the next when that one is not in touch.
func (f *Front) follow() error {
	ctx := f.tomb.Context(context.Background())
	isLost := false
	for f.tomb.Alive() {
		source := f.source(time.Now())
		callCtx, cancel := context.WithTimeout(ctx, followLimit)
		reply, err := peer.Call[core.FollowReply](callCtx, f.hub, source, "follow", core.FollowRequest{Since: f.view.Load().Index})
		cancel()
		f.inTouch.Store(err == nil && reply.LeaderReachable)
		if err != nil || !reply.LeaderReachable {
			if f.tomb.Alive() && !isLost {
				_ = f.logger.Log("event", "control-lost", "source", source, "index", f.view.Load().Index, "reason", err)
				isLost = true
			}
			f.mu.Lock()
			f.sources.fail(time.Now(), source)
			f.mu.Unlock()
			pause.For(ctx, followGap)
			continue
		}
		if isLost {
			_ = f.logger.Log("event", "control-regained", "source", source, "index", reply.Update.Index)
			isLost = false
		}
		f.learn(time.Now(), reply)
	}
	return nil
}

// source returns the control host to follow next.
func (f *Front) source(now time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.pick(now)
}

func (f *Front) knownControls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.names()
}

// learn takes in what a control host has told.
func (f *Front) learn(now time.Time, reply core.FollowReply) {
	old := f.view.Load()
	next := old.With(now, reply.Update)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, member := range reply.Members {
		f.sources.add(member)
	}
	if next == old {
		return
	}
	if next.Table != nil && next.Table != old.Table {
		_ = f.logger.Log("event", "config-in-force", "version", next.Table.Config.Version, "index", next.Index)
	}
	f.view.Store(next)
	close(f.changed)
	f.changed = make(chan struct{})
	for life, u := range f.upstreams {
		known, ok := next.Upstreams[life.ID]
		if !ok || known.Instance != life || known.Ended {
			u.close()
			delete(f.upstreams, life)
		}
	}
}

// viewChange returns a channel that closes when the view changes.
func (f *Front) viewChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// at returns how this host deals with an upstream.
func (f *Front) at(known realm.Upstream) *upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstreams[known.Instance]
	if u == nil {
		u = newUpstream(known)
		f.upstreams[known.Instance] = u
	}
	return u
}

// report tells the leader what was counted, and learns how many hosts share what is allowed to all.
func (f *Front) report() error {
	ctx := f.tomb.Context(context.Background())
	leader := ""
	for turn := 0; f.tomb.Alive(); turn++ {
		pause.For(ctx, reportGap)
		f.mu.Lock()
		counts := f.counts
		f.counts = make(map[string]map[int]int)
		speeds := make(map[string]time.Duration)
		if turn%speedTurns == 0 {
			for life, u := range f.upstreams {
				if took := u.tookCalm(); took > 0 {
					speeds[life.ID] = took.Round(time.Millisecond)
				}
			}
		}
		f.mu.Unlock()
		for range 3 {
			if leader == "" {
				controls := f.knownControls()
				leader = controls[turn%len(controls)]
			}
			callCtx, cancel := context.WithTimeout(ctx, reportLimit)
			reply, err := peer.Call[core.ReportReply](callCtx, f.hub, leader, "report", core.Report{Loads: counts, Latencies: speeds})
			cancel()
			if err == nil && reply.OK {
				f.share(reply.Hosts)
				break
			}
			leader = reply.Leader // empty after an error; what was counted is lost when no leader is found
			turn++
		}
	}
	return nil
}

// share divides what is allowed to all hosts by their number.
func (f *Front) share(hosts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if hosts == 0 {
		return
	}
	f.hosts = hosts
	for _, budget := range f.budgets {
		budget.Share(float64(f.site.Bounds.RetrySlack) / float64(f.hosts))
	}
}

// budget returns the budget of a service; the lock is held.
func (f *Front) budget(service string) *admit.RetryBudget {
	b := f.budgets[service]
	if b == nil {
		b = admit.NewRetryBudget(f.site.Bounds.RetryRatio, f.site.Bounds.RetryWindow, float64(f.site.Bounds.RetrySlack)/float64(f.hosts))
		f.budgets[service] = b
	}
	return b
}

// mayRepeat takes one request that is sent again out of the budget of a service.
func (f *Front) mayRepeat(now time.Time, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(service).TryRetry(now)
}

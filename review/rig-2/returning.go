package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Limits of the rule on owners, and the steps of the case.
const (
	longestOverlap  = 500 * time.Millisecond // for which two servers may hold the same keys
	overlapInterval = 20 * time.Millisecond  // between two looks at what the servers hold
	correctionDelay = 300 * time.Millisecond // until the operator puts the service back
)

// restartDelays is how long after the kill each control host is back: all of them within a second.
var restartDelays = []time.Duration{400 * time.Millisecond, 400 * time.Millisecond, 950 * time.Millisecond}

// held returns the ranges that a server holds now.
func (s *server) held() (ranges []hold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, h := range s.holds {
		if now.Before(h.until) {
			ranges = append(ranges, h)
		}
	}
	return ranges
}

// overlap returns keys that both servers hold; it reports false if there are none.
func overlap(a, b *server) (first, second hold, isShared bool) {
	ofB := b.held()
	for _, x := range a.held() {
		for _, y := range ofB {
			if x.from <= y.to && y.from <= x.to {
				return x, y, true
			}
		}
	}
	return hold{}, hold{}, false
}

// watchOwners watches what the servers hold until ctx ends, and returns the longest time for which two of them held the
// same keys.
func watchOwners(ctx context.Context, servers []*server) (longest time.Duration) {
	type pair struct{ a, b *server }
	since := make(map[pair]time.Time)
	for ctx.Err() == nil {
		for i, a := range servers {
			for _, b := range servers[i+1:] {
				x, y, isShared := overlap(a, b)
				began, isKnown := since[pair{a, b}]
				switch {
				case isShared && !isKnown:
					since[pair{a, b}] = time.Now()
					a.log("servers   %s holds %d to %d under %d, and %s holds %d to %d under %d", a.id, x.from, x.to, x.fence, b.id, y.from, y.to, y.fence)
				case !isShared && isKnown:
					a.log("servers   %s and %s have held the same keys for %v", a.id, b.id, time.Since(began).Round(time.Millisecond))
					delete(since, pair{a, b})
				}
				if isShared && isKnown {
					longest = max(longest, time.Since(began))
				}
			}
		}
		sleep(ctx, overlapInterval)
	}
	return longest
}

// returning takes a service out of the configuration and puts it back at once. With the disruption, all control hosts are
// killed and start again as the first of the two orders is sent.
func returning(f *fleet, trouble bool) error {
	d, err := deploy(f)
	if err != nil {
		return err
	}
	var keyed []*server
	for _, s := range d.servers {
		if s.keyed {
			keyed = append(keyed, s)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var watcher sync.WaitGroup
	var longest time.Duration
	watcher.Go(func() { longest = watchOwners(ctx, keyed) })
	time.Sleep(10 * time.Second) // keys move to where there is room for them
	d.callers.report()
	if trouble {
		for _, m := range d.cores {
			f.kill(m)
		}
		for i, m := range d.cores {
			defer time.AfterFunc(restartDelays[i], func() {
				if err := f.start(m); err != nil {
					f.log("provider  %v", err)
				}
			}).Stop()
		}
	}
	without := usualRoutes[1:]
	if !d.op.put(2, configOf(2, without, "commission"), 20*time.Second) {
		cancel()
		return errSetup
	}
	time.Sleep(correctionDelay)
	if !d.op.put(3, configBody(3, usualRoutes), 20*time.Second) {
		cancel()
		return errSetup
	}
	time.Sleep(10 * time.Second)
	cancel()
	watcher.Wait()
	d.callers.report()
	d.callers.end()
	if longest > longestOverlap {
		return fmt.Errorf("%w: OWNER, two servers held the same keys for %v", errBroken, longest.Round(time.Millisecond))
	}
	return nil
}

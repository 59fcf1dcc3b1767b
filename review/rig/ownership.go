package main

import (
	"context"
	"errors"
	"time"
)

// Times of the case in which a service leaves the configuration and returns.
const (
	startLimit  = 20 * time.Second
	learnTime   = 8 * time.Second // traffic before the changes, in which the leader learns which keys are busy
	absenceTime = time.Second     // between the two changes
	watchTime   = 8 * time.Second // traffic after them, longer than any grant lasts
	callRate    = 60              // requests a second
	keyedCount  = 8
	plainCount  = 2
	targetWork  = 120 * time.Millisecond // as for the views of the users' sheet
)

// playServiceReturns has the operator send a configuration without the service that is divided by key, and then one that
// has it again. Without the trouble both configurations have it.
func playServiceReturns(s *system, trouble bool) (bool, error) {
	targets, err := s.startWithTargets()
	defer stopAll(targets)
	if err != nil {
		return false, err
	}
	traffic := newCallers(s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		traffic.run(ctx, callRate)
	}()
	time.Sleep(learnTime)
	if traffic.served.Load() == 0 {
		return false, errors.New("no request was served")
	}
	second := newConfiguration(2)
	if trouble {
		second = second.withoutService(keyedService)
	}
	if err := s.put(second, startLimit); err != nil {
		return false, err
	}
	time.Sleep(absenceTime)
	if err := s.put(newConfiguration(3), startLimit); err != nil {
		return false, err
	}
	time.Sleep(watchTime)
	cancel()
	<-ended
	s.record.say("%d requests sent, %d served", traffic.sent.Load(), traffic.served.Load())
	return judgeOwnership(s, targets), nil
}

// startWithTargets starts the deployment with upstreams of both services, and waits until it serves keys.
func (s *system) startWithTargets() (targets []*target, err error) {
	if err := s.startAll(); err != nil {
		return nil, err
	}
	if err := s.put(newConfiguration(1), startLimit); err != nil {
		return nil, err
	}
	for i := range keyedCount + plainCount {
		name := keyedService
		if i >= keyedCount {
			name = plainService
		}
		t, err := s.startTarget(i, name, i < keyedCount, func() time.Duration { return targetWork })
		if err != nil {
			return targets, err
		}
		targets = append(targets, t)
	}
	if err := s.awaitReady(startLimit); err != nil {
		return targets, err
	}
	deadline := time.Now().Add(startLimit)
	for !allHeld(targets) {
		if time.Now().After(deadline) {
			return targets, errNotReady
		}
		time.Sleep(100 * time.Millisecond)
	}
	return targets, nil
}

func stopAll(targets []*target) {
	for _, t := range targets {
		t.stop()
	}
}

// allHeld reports whether each key is held by some target.
func allHeld(targets []*target) bool {
	now := time.Now()
	for key := 0; key < allKeys; key += 64 {
		isHeld := false
		for _, t := range targets {
			t.mu.Lock()
			isHeld = isHeld || t.keyed && now.Before(t.until[key])
			t.mu.Unlock()
		}
		if !isHeld {
			return false
		}
	}
	return true
}

// span is a time for which a target holds a key.
type span struct{ from, to time.Time }

// spansOf returns the times for which a target holds a key, from its grants and releases.
func (t *target) spansOf(key int) (spans []span) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, event := range t.holds {
		if key < event.from || key > event.to {
			continue
		}
		if n := len(spans); n > 0 && !spans[n-1].to.Before(event.at) {
			spans[n-1].to = event.until // a renewal, or a release
			continue
		}
		if event.until.After(event.at) {
			spans = append(spans, span{event.at, event.until})
		}
	}
	return spans
}

// beginsIn reports whether the target has begun a request for a key in a span.
func (t *target) beginsIn(key int, s span) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, run := range t.runs {
		if run.key == key && !run.start.Before(s.from) && run.start.Before(s.to) {
			return true
		}
	}
	return false
}

// maxSharedHold is for how long two targets may hold the same keys, according to the rule OWNER.
const maxSharedHold = 500 * time.Millisecond

// judgeOwnership reports whether two targets held the same key for longer than the rule allows, or both began requests
// for it meanwhile.
func judgeOwnership(s *system, targets []*target) bool {
	shared, began := 0, 0
	longest := time.Duration(0)
	for key := range allKeys {
		for i, a := range targets {
			if !a.keyed {
				continue
			}
			spans := a.spansOf(key)
			for _, b := range targets[i+1:] {
				if !b.keyed {
					continue
				}
				for _, other := range b.spansOf(key) {
					for _, own := range spans {
						both := span{latest(own.from, other.from), earliest(own.to, other.to)}
						period := both.to.Sub(both.from)
						if period <= 0 {
							continue
						}
						if period > maxSharedHold {
							shared++
							if shared <= 20 {
								s.record.line("OWNER: %s and %s both held key %d from %.3f to %.3f", a.id, b.id, key, s.record.at(both.from), s.record.at(both.to))
							}
							longest = max(longest, period)
						}
						if a.beginsIn(key, both) && b.beginsIn(key, both) {
							began++
							s.record.line("OWNER: %s and %s both began requests for key %d between %.3f and %.3f", a.id, b.id, key, s.record.at(both.from), s.record.at(both.to))
						}
					}
				}
			}
		}
	}
	s.record.say("%d keys were held by two targets for over %s, the longest for %s; for %d keys both began requests meanwhile", shared, maxSharedHold, longest.Round(time.Millisecond), began)
	return shared > 0 || began > 0
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

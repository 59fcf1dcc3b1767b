package main

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"
)

// playStrayCheckIn has another writer send one check-in that lacks fields and names the address of an upstream which is
// in use. Without the trouble it is not sent.
func playStrayCheckIn(s *system, trouble bool) (bool, error) {
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
	if trouble {
		if err := s.sendStray(targets[0]); err != nil {
			return false, err
		}
	}
	time.Sleep(watchTime)
	cancel()
	<-ended
	s.record.say("%d requests sent, %d served", traffic.sent.Load(), traffic.served.Load())
	return judgeOwnership(s, targets), nil
}

// sendStray sends a check-in that lacks the zone, the version, the sequence and the rest of the warm-up.
func (s *system) sendStray(t *target) error {
	body, err := render("stray.tmpl", checkIn{Address: t.address, Born: time.Now().UnixMilli(), Service: t.service, Slots: targetSlots})
	if err != nil {
		return err
	}
	core := s.cores[0]
	status, err := core.call(http.MethodPut, onWire("check-in")+"i-other", body)
	s.record.say("another writer sends %s to %s: %d", strings.TrimSpace(string(body)), core.name, status)
	return err
}

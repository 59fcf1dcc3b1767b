package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
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

// sendStray sends a check-in without zone, version, sequence and warmup_left.
func (s *system) sendStray(t *target) error {
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"slots":%d},"status":{"state":"ready"}}`,
		t.address, time.Now().UnixMilli(), t.service, targetSlots)
	core := s.cores[0]
	request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/lovagelink/instances/i-other", core.ip, controlPort), bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	s.record.say("another writer sends %s to %s: %d", body, core.name, response.StatusCode)
	return nil
}

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of a planned stop: a route with the work, the timeout and the time limit of the sign-offs on the
// users' sheet of the grown Kingston deployment, and a grace of 6 s.
const (
	signoffWork    = 840 * time.Millisecond // mean
	signoffSpread  = 0.5
	signoffTail    = 0.01 // share of requests with signoffTailBy times the work
	signoffTailBy  = 5
	signoffMost    = 6300 * time.Millisecond
	signoffTimeout = 4 * time.Second
	signoffLimit   = 6 * time.Second
	signoffTargets = 8
	stopCallers    = 60 // for each entry host, each with a kept connection and one request at a time
	stopRounds     = 2  // times that each entry host is stopped
	settleTime     = 15 * time.Second
	restTime       = 4 * time.Second // after the start of an entry host
	grace          = 6 * time.Second
	lastSixth      = 5 * time.Second
	lateRequest    = 3 * time.Second // requests sent later than that after SIGTERM have no excuse
	lossSlack      = 200 * time.Millisecond
)

// stop is a SIGTERM of an entry host.
type stop struct {
	front *machine
	term  time.Time
}

// drawSignoff returns the work of a sign-off, which varies as the sheet says.
func drawSignoff() time.Duration {
	work := float64(signoffWork) * math.Exp(signoffSpread*rand.NormFloat64()-signoffSpread*signoffSpread/2)
	if rand.Float64() < signoffTail {
		work *= signoffTailBy
	}
	return min(time.Duration(work), signoffMost)
}

// stopRequest is a request to an entry host, and how it ended.
type stopRequest struct {
	front      *machine
	id         string
	sent, over time.Time
	status     int // 0 if the connection ended without a complete answer
}

// playPlannedStop stops the entry hosts in turn with SIGTERM, under steady load, and starts them again. Without the
// trouble they are not stopped.
func playPlannedStop(s *system, trouble bool) (bool, error) {
	if err := s.startAll(); err != nil {
		return false, err
	}
	c := newConfiguration(1)
	c.Routes[2].Timeout, c.Routes[2].Aim = signoffTimeout, signoffTimeout
	if err := s.put(c, startLimit); err != nil {
		return false, err
	}
	var targets []*target
	defer func() { stopAll(targets) }()
	for i := range signoffTargets {
		t, err := s.startTarget(i, plainService, false, drawSignoff)
		if err != nil {
			return false, err
		}
		targets = append(targets, t)
	}
	if err := s.awaitReady(startLimit); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var requests []stopRequest
	served := 0
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	for _, m := range s.fronts {
		for range stopCallers {
			all.Go(func() {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}}
				for ctx.Err() == nil {
					r, retryAfter := s.signoff(client, m)
					mu.Lock()
					requests = append(requests, r)
					if r.status == http.StatusOK {
						served++
					}
					mu.Unlock()
					select {
					case <-time.After(retryAfter):
					case <-ctx.Done():
					}
				}
			})
		}
	}
	time.Sleep(settleTime)
	var stops []stop
	for range stopRounds {
		for _, m := range s.fronts {
			stops = append(stops, stop{m, time.Now()}) // without the trouble, the same requests are judged
			if trouble {
				if err := s.stopAndStart(m); err != nil {
					return false, err
				}
			} else {
				time.Sleep(grace)
			}
			time.Sleep(restTime)
		}
	}
	cancel()
	all.Wait()
	if served == 0 {
		return false, errors.New("no request was served")
	}
	s.record.say("%d requests were served", served)
	return judgeStop(s, requests, targets, stops), nil
}

// stopAndStart sends SIGTERM to the process of a machine, kills it after the grace, and starts it again.
func (s *system) stopAndStart(m *machine) error {
	m.mu.Lock()
	command, done := m.command, m.done
	m.mu.Unlock()
	s.record.say("SIGTERM to %s", m.name)
	term := time.Now()
	if err := command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-done:
	case <-time.After(grace):
		m.end()
	}
	s.record.say("%s has ended %.3f s after SIGTERM", m.name, time.Since(term).Seconds())
	return s.start(m)
}

// signoff sends one request to an entry host on a kept connection. It returns how it ended, and after what time to send
// the next one.
func (s *system) signoff(client *http.Client, m *machine) (stopRequest, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), signoffLimit)
	defer cancel()
	r := stopRequest{front: m, id: newID(), sent: time.Now()}
	pause := 200 * time.Millisecond
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s:%d%s%s", m.ip, frontPort, confirmPath, r.id), strings.NewReader("sign-off"))
	if err != nil {
		return r, pause
	}
	request.Host = callerHost
	request.GetBody = nil
	request.Header.Set(onWire("request-id"), r.id)
	request.Header.Set(onWire("deadline"), fmt.Sprint(signoffLimit.Milliseconds()))
	s.record.line("caller sends %s to %s", r.id, m.name)
	response, err := client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err == nil {
			r.status = response.StatusCode
		}
		if seconds, parseErr := time.ParseDuration(response.Header.Get("Retry-After") + "s"); parseErr == nil {
			pause = max(pause, min(seconds, signoffLimit/3))
		}
	}
	r.over = time.Now()
	s.record.line("caller's %s to %s ends with %d: %v", r.id, m.name, r.status, err)
	return r, pause
}

// stopOf returns when the entry host of a request got the SIGTERM around which the request has ended, if there is one.
func stopOf(r stopRequest, stops []stop) (term time.Time, ok bool) {
	for _, s := range stops {
		if s.front == r.front && !r.over.Before(s.term) && r.over.Before(s.term.Add(grace+time.Second)) {
			return s.term, true
		}
	}
	return time.Time{}, false
}

// judgeStop reports whether a request was lost around the SIGTERM, by the rule LOST: the entry host had read it, and its
// connection ended without a complete answer, without one of the excuses of the rule.
func judgeStop(s *system, requests []stopRequest, targets []*target, stops []stop) bool {
	ended, arrived := make(map[string]time.Time), make(map[string]bool)
	for _, t := range targets {
		t.mu.Lock()
		maps.Copy(arrived, t.arrived)
		for _, run := range t.runs {
			ended[run.id] = run.end
		}
		t.mu.Unlock()
	}
	lost := 0
	for _, r := range requests {
		term, wasStopped := stopOf(r, stops)
		if r.status != 0 || !wasStopped {
			continue
		}
		held := r.over.Sub(r.sent)
		workEnd, wasAtWork := ended[r.id]
		isPassedOn := arrived[r.id]
		switch {
		case held >= signoffTimeout:
			continue // the route's timeout was reached
		case wasAtWork && !workEnd.Before(term.Add(lastSixth)) && r.sent.Before(term.Add(lateRequest)):
			continue // its target was still at work in the last sixth of the grace
		case !isPassedOn && held <= lossSlack:
			continue // it crossed the end of the connection
		}
		lost++
		s.record.say("LOST: %s to %s, sent %.3f s after SIGTERM, reached a target: %t, ended without an answer %.3f s after SIGTERM",
			r.id, r.front.name, r.sent.Sub(term).Seconds(), isPassedOn, r.over.Sub(term).Seconds())
	}
	s.record.say("%d requests lost", lost)
	return lost > 0
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a target: it registers, takes keys and runs requests.
type server struct {
	*fleet
	id, service, zone, address string
	keyed                      bool
	work                       time.Duration
	born                       int64
	http                       *http.Server
	client                     http.Client
	stop                       context.CancelFunc

	mu       sync.Mutex
	sequence int
	state    string
	next     string      // address for check-ins that a control host has named
	holds    []hold      // not expired, without overlaps
	fences   []hold      // the highest fence of each range that was granted
	running  map[int]int // requests by key
}

// hold is a range of keys, its fence, and until when it is held.
type hold struct {
	from, to int
	fence    uint64
	until    time.Time
}

func (f *fleet) newServer(id, service, zone string, keyed bool) *server {
	return &server{
		fleet: f, id: id, service: service, zone: zone, keyed: keyed, work: 20 * time.Millisecond,
		address: fmt.Sprintf("%s:%d", f.address(), f.ports.server), state: "ready",
		running: make(map[int]int),
	}
}

// start listens and begins to check in.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.born = time.Now().UnixMilli()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /lovagelink/grant", s.grant)
	mux.HandleFunc("POST /lovagelink/release", s.release)
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{Handler: mux, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }() // ends with the rig
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.checkIn(ctx)
	return nil
}

// checkIn sends a check-in each heartbeat interval, to the next control host after a failure.
func (s *server) checkIn(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; {
		s.mu.Lock()
		s.sequence++
		body, err := json.Marshal(map[string]any{
			"address": s.address, "born": s.born,
			"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": 2},
			"status": map[string]any{"state": s.state, "sequence": s.sequence, "warmup_left": "0ms"},
		})
		target := s.next
		s.mu.Unlock()
		controls := s.controls()
		if target == "" && len(controls) > 0 {
			target = controls[turn%len(controls)]
		}
		if err == nil && s.send(ctx, http.MethodPut, target, body) {
			sleep(ctx, heartbeatInterval)
			continue
		}
		turn++
		s.mu.Lock()
		s.next = ""
		s.mu.Unlock()
		sleep(ctx, 50*time.Millisecond)
	}
}

// send sends one call about this server, and reports whether it was acknowledged within a second.
func (s *server) send(ctx context.Context, method, target string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target+"/lovagelink/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var reply struct {
		Next string `json:"heartbeat_address"`
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	if err != nil || response.StatusCode/100 != 2 {
		return false
	}
	if len(data) > 0 && json.Unmarshal(data, &reply) == nil && reply.Next != "" {
		s.mu.Lock()
		s.next = reply.Next
		s.mu.Unlock()
	}
	return true
}

func sleep(ctx context.Context, period time.Duration) {
	select {
	case <-time.After(period):
	case <-ctx.Done():
	}
}

// isForOther answers a call that names another server.
func (s *server) isForOther(w http.ResponseWriter, r *http.Request) bool {
	named := r.Header.Get("X-Target-Instance")
	if named == "" || named == s.id {
		return false
	}
	w.Header().Set("X-Instance-Id", s.id)
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

// keyCall is the body of a grant or a release.
type keyCall struct {
	From  int    `json:"from"`
	To    int    `json:"to"`
	Fence uint64 `json:"fence"`
	Hold  string `json:"hold_time"`
}

func (s *server) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var call keyCall
	if s.isForOther(w, r) {
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	period, err := time.ParseDuration(call.Hold)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.fences {
		if f.from <= call.To && call.From <= f.to && f.fence > call.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	granted := hold{call.From, call.To, call.Fence, arrived.Add(period)}
	s.fences = append(cut(s.fences, call.From, call.To), granted)
	s.holds = append(cut(s.holds, call.From, call.To), granted)
}

func (s *server) release(w http.ResponseWriter, r *http.Request) {
	var call keyCall
	if s.isForOther(w, r) {
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.holds = cut(s.holds, call.From, call.To)
	s.mu.Unlock()
	for s.isWorkingOn(call.From, call.To) {
		time.Sleep(2 * time.Millisecond)
	}
	w.Header().Set("X-Handover", fmt.Sprintf("%016x", call.Fence))
}

func (s *server) isWorkingOn(from, to int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, count := range s.running {
		if count > 0 && from <= key && key <= to {
			return true
		}
	}
	return false
}

// cut returns the ranges without the keys from one to another.
func cut(ranges []hold, from, to int) (next []hold) {
	for _, r := range ranges {
		if r.to < from || to < r.from {
			next = append(next, r)
			continue
		}
		if r.from < from {
			left := r
			left.to = from - 1
			next = append(next, left)
		}
		if r.to > to {
			right := r
			right.from = to + 1
			next = append(next, right)
		}
	}
	return next
}

// holdsKey reports whether the server holds a key now.
func (s *server) holdsKey(key int) bool {
	now := time.Now()
	for _, h := range s.holds {
		if h.from <= key && key <= h.to && now.Before(h.until) {
			return true
		}
	}
	return false
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if s.isForOther(w, r) {
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	s.mu.Lock()
	if s.keyed && (err != nil || !s.holdsKey(key)) {
		s.mu.Unlock()
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.running[key]++
	s.mu.Unlock()
	s.note("server    %s runs %s", s.id, id)
	time.Sleep(s.work)
	s.mu.Lock()
	s.running[key]--
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "sig-"+s.id)
	w.Header().Set("X-Target-Load", "1,0,2")
	if _, err := fmt.Fprintf(w, "%s ran %s\n", s.id, id); err != nil {
		return
	}
}

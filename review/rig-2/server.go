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
	mux.HandleFunc(onWire("grant"), s.grant)
	mux.HandleFunc(onWire("release"), s.release)
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
		body := render("checkin.tmpl", struct {
			Address, Service, Zone, State string
			Born                          int64
			Sequence                      int
		}{s.address, s.service, s.zone, s.state, s.born, s.sequence})
		target := s.next
		s.mu.Unlock()
		controls := s.controls()
		if target == "" && len(controls) > 0 {
			target = controls[turn%len(controls)]
		}
		if s.send(ctx, http.MethodPut, target, body) {
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
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target+onWire("check-in")+s.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	if err != nil || response.StatusCode/100 != 2 {
		return false
	}
	reply := make(map[string]string) // holds the address for the next check-ins, if there is one
	if len(data) > 0 && json.Unmarshal(data, &reply) == nil && reply[onWire("next-check-in")] != "" {
		s.mu.Lock()
		s.next = reply[onWire("next-check-in")]
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
	named := r.Header.Get(onWire("meant-for"))
	if named == "" || named == s.id {
		return false
	}
	w.Header().Set(onWire("responder"), s.id)
	w.Header().Set(onWire("not-run"), "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

// keyCall is the body of a grant or a release.
type keyCall struct {
	From  int    `json:"from"`
	To    int    `json:"to"`
	Fence uint64 `json:"fence"`
}

// decodeKeyCall reads the body of a grant or a release, and for how long a grant holds.
func decodeKeyCall(r *http.Request) (call keyCall, period time.Duration, err error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return call, 0, err
	}
	if err := json.Unmarshal(data, &call); err != nil {
		return call, 0, err
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(data, &fields); err != nil {
		return call, 0, err
	}
	if text, ok := fields[onWire("hold-time")].(string); ok {
		period, err = time.ParseDuration(text)
	}
	return call, period, err
}

func (s *server) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if s.isForOther(w, r) {
		return
	}
	call, period, err := decodeKeyCall(r)
	if err != nil || period <= 0 {
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
	if s.isForOther(w, r) {
		return
	}
	call, _, err := decodeKeyCall(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.holds = cut(s.holds, call.From, call.To)
	s.mu.Unlock()
	for s.isWorkingOn(call.From, call.To) {
		time.Sleep(2 * time.Millisecond)
	}
	w.Header().Set(onWire("handover"), fmt.Sprintf("%016x", call.Fence))
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
	id := r.Header.Get(onWire("request-id"))
	if s.isForOther(w, r) {
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set(onWire("responder"), s.id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	key, err := strconv.Atoi(r.Header.Get(onWire("key")))
	s.mu.Lock()
	if s.keyed && (err != nil || !s.holdsKey(key)) {
		s.mu.Unlock()
		w.Header().Set(onWire("request-id"), id)
		w.Header().Set(onWire("not-run"), "1")
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
	w.Header().Set(onWire("request-id"), id)
	w.Header().Set(onWire("signature"), "sig-"+s.id)
	w.Header().Set(onWire("load"), "1,0,2")
	if _, err := fmt.Fprintf(w, "%s ran %s\n", s.id, id); err != nil {
		return
	}
}

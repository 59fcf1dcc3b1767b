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

// Behaviour of the stand-ins for upstreams, as the pages describe it.
const (
	targetSlots     = 2
	targetQueue     = 8
	heartbeatPeriod = 870 * time.Millisecond
	allKeys         = 65536
)

// holdEvent is a change of what a target holds.
type holdEvent struct {
	at       time.Time
	from, to int
	fence    uint64
	until    time.Time // when the hold runs out; the time of the event for a release
}

// runEvent is a request that a target has run.
type runEvent struct {
	id         string
	key        int
	start, end time.Time
}

// target is an upstream.
type target struct {
	system            *system
	id, service, zone string
	address           string
	keyed             bool
	work              time.Duration
	born              int64
	server            *http.Server

	slots chan struct{} // one entry for each running request
	queue chan struct{} // one entry for each running or waiting request

	mu       sync.Mutex
	until    [allKeys]time.Time // when the hold of a key runs out
	fence    [allKeys]uint64    // highest generation number seen for a key
	running  [allKeys]int       // requests at work on a key
	holds    []holdEvent
	runs     []runEvent
	sequence int
	cancel   context.CancelFunc
}

// startTarget starts an upstream and its check-ins.
func (s *system) startTarget(number int, serviceName string, keyed bool, work time.Duration) (*target, error) {
	t := &target{
		system: s, id: fmt.Sprintf("i-%08x", 0x7f3a0000+number), service: serviceName, zone: zones[number%len(zones)],
		address: fmt.Sprintf("%s:%d", s.ip(100+number), targetPort), keyed: keyed, work: work, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, targetSlots), queue: make(chan struct{}, targetSlots+targetQueue),
	}
	listener, err := net.Listen("tcp", t.address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /lovagelink/grant", t.handleGrant)
	mux.HandleFunc("POST /lovagelink/release", t.handleRelease)
	mux.HandleFunc("GET /health", t.handleHealth)
	mux.HandleFunc("/", t.handleRequest)
	t.server = &http.Server{Handler: mux, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: 10 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	go func() { _ = t.server.Serve(listener) }()
	go t.checkIn(ctx)
	return t, nil
}

// stop ends the upstream.
func (t *target) stop() {
	t.cancel()
	_ = t.server.Close()
}

// checkIn sends a check-in each heartbeatPeriod, to the next control host if one does not acknowledge it.
func (t *target) checkIn(ctx context.Context) {
	client := http.Client{Timeout: time.Second}
	turn := 0
	for ctx.Err() == nil {
		t.sequence++
		body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","sequence":%d,"warmup_left":"0ms"}}`,
			t.address, t.born, t.service, t.zone, targetSlots, t.sequence)
		for range t.system.cores {
			core := t.system.cores[turn%len(t.system.cores)]
			request, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s:%d/lovagelink/instances/%s", core.ip, controlPort, t.id), bytes.NewReader([]byte(body)))
			if err != nil {
				return
			}
			request.Header.Set("Content-Type", "application/json")
			response, err := client.Do(request)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			turn++
		}
		select {
		case <-time.After(heartbeatPeriod):
		case <-ctx.Done():
		}
	}
}

// keysCall is the body of a grant or a release.
type keysCall struct {
	From     int    `json:"from"`
	To       int    `json:"to"`
	Fence    uint64 `json:"fence"`
	HoldTime string `json:"hold_time"`
}

// readKeys reads the body of a grant or a release, and answers a call that is not for this upstream or can't be read.
func (t *target) readKeys(w http.ResponseWriter, r *http.Request) (call keysCall, ok bool) {
	if meant := r.Header.Get("X-Target-Instance"); meant != "" && meant != t.id {
		w.Header().Set("X-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return call, false
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil || call.From < 0 || call.To < call.From || call.To >= allKeys {
		w.WriteHeader(http.StatusBadRequest)
		return call, false
	}
	return call, true
}

func (t *target) handleGrant(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	call, ok := t.readKeys(w, r)
	if !ok {
		return
	}
	holdTime, err := time.ParseDuration(call.HoldTime)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := call.From; key <= call.To; key++ {
		if t.fence[key] > call.Fence {
			t.system.record.line("%s refuses grant of %d to %d with fence %d: it has seen %d", t.id, call.From, call.To, call.Fence, t.fence[key])
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	until := now.Add(holdTime)
	for key := call.From; key <= call.To; key++ {
		t.fence[key], t.until[key] = call.Fence, until
	}
	t.holds = append(t.holds, holdEvent{now, call.From, call.To, call.Fence, until})
	t.system.record.line("%s takes keys %d to %d with fence %d for %s", t.id, call.From, call.To, call.Fence, call.HoldTime)
}

func (t *target) handleRelease(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	call, ok := t.readKeys(w, r)
	if !ok {
		return
	}
	t.mu.Lock()
	for key := call.From; key <= call.To; key++ {
		t.until[key] = now
	}
	t.holds = append(t.holds, holdEvent{now, call.From, call.To, call.Fence, now})
	t.mu.Unlock()
	t.system.record.line("%s releases keys %d to %d with fence %d", t.id, call.From, call.To, call.Fence)
	for t.isAtWork(call.From, call.To) {
		time.Sleep(2 * time.Millisecond)
	}
	w.Header().Set("X-Handover", "5c0e7a21d94b36f8")
}

func (t *target) isAtWork(from, to int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := from; key <= to; key++ {
		if t.running[key] > 0 {
			return true
		}
	}
	return false
}

func (t *target) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", t.id)
}

// begin records that work on a key begins; it reports false if the target does not hold the key.
func (t *target) begin(key int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.keyed && !time.Now().Before(t.until[key]) {
		return false
	}
	t.running[key]++
	return true
}

// finish records the end of work on a key; it reports whether the target still holds the key.
func (t *target) finish(id string, key int, start time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.running[key]--
	t.runs = append(t.runs, runEvent{id, key, start, now})
	return !t.keyed || now.Before(t.until[key])
}

func (t *target) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if meant := r.Header.Get("X-Target-Instance"); meant != "" && meant != t.id {
		w.Header().Set("X-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case t.queue <- struct{}{}:
		defer func() { <-t.queue }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-r.Context().Done():
		return
	}
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	if err != nil || key < 0 || key >= allKeys {
		key = 0
	}
	if !t.begin(key) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	start := time.Now()
	t.system.record.line("%s runs %s %s key %d", t.id, r.Method, id, key)
	time.Sleep(t.work)
	held := t.finish(id, key, start)
	w.Header().Set("X-Response-Signature", "3e1b."+id)
	w.Header().Set("X-Target-Load", fmt.Sprintf("%d,%d,%d", len(t.slots), max(0, len(t.queue)-len(t.slots)), targetSlots))
	if !held {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, "done "+id+"\n")
}

package main

import (
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
	work              func() time.Duration // work of the next request
	born              int64
	server            *http.Server

	slots chan struct{} // one entry for each running request
	queue chan struct{} // one entry for each running or waiting request

	mu      sync.Mutex
	until   [allKeys]time.Time // when the hold of a key runs out
	fence   [allKeys]uint64    // highest generation number seen for a key
	running [allKeys]int       // requests at work on a key
	holds   []holdEvent
	runs    []runEvent
	arrived map[string]bool // ids of the requests that have reached the target
	cancel  context.CancelFunc
}

// startTarget starts an upstream and its check-ins.
func (s *system) startTarget(number int, serviceName string, keyed bool, work func() time.Duration) (*target, error) {
	t := &target{
		system: s, id: fmt.Sprintf("i-%08x", 0x7f3a0000+number), service: serviceName, zone: zones[number%len(zones)],
		address: fmt.Sprintf("%s:%d", s.ip(100+number), targetPort), keyed: keyed, work: work, born: time.Now().UnixMilli(),
		arrived: make(map[string]bool), slots: make(chan struct{}, targetSlots), queue: make(chan struct{}, targetSlots+targetQueue),
	}
	listener, err := net.Listen("tcp", t.address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+onWire("grant"), t.handleGrant)
	mux.HandleFunc("POST "+onWire("release"), t.handleRelease)
	mux.HandleFunc("GET /health", t.handleHealth)
	mux.HandleFunc("/", t.handleRequest)
	t.server = &http.Server{Handler: mux, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: 10 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	go func() { _ = t.server.Serve(listener) }()
	go t.sendCheckIns(ctx)
	return t, nil
}

// stop ends the upstream.
func (t *target) stop() {
	t.cancel()
	_ = t.server.Close()
}

// checkIn holds the values of a check-in.
type checkIn struct {
	Address, Service, Zone string
	Born                   int64
	Slots, Sequence        int
}

// sendCheckIns sends a check-in each heartbeatPeriod, to the next control host if one does not acknowledge it.
func (t *target) sendCheckIns(ctx context.Context) {
	turn := 0
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body, err := render("checkin.tmpl", checkIn{Address: t.address, Born: t.born, Service: t.service, Zone: t.zone, Slots: targetSlots, Sequence: sequence})
		if err != nil {
			t.system.record.say("no check-in: %v", err)
			return
		}
		for range t.system.cores {
			core := t.system.cores[turn%len(t.system.cores)]
			if status, err := core.call(http.MethodPut, onWire("check-in")+t.id, body); err == nil && status == http.StatusOK {
				break
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
	From, To int
	Fence    uint64
	HoldTime string // of a grant
}

// unmarshal reads the body of a call.
func (k *keysCall) unmarshal(data []byte) error {
	if err := json.Unmarshal(data, k); err != nil {
		return err
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	k.HoldTime, _ = fields[onWire("hold-time")].(string) // a release has none
	return nil
}

// readKeys reads the body of a grant or a release, and answers a call that is not for this upstream or can't be read.
func (t *target) readKeys(w http.ResponseWriter, r *http.Request) (call keysCall, ok bool) {
	if meant := r.Header.Get(onWire("meant-for")); meant != "" && meant != t.id {
		w.Header().Set(onWire("responder"), t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return call, false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || call.unmarshal(body) != nil || call.From < 0 || call.To < call.From || call.To >= allKeys {
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
	w.Header().Set(onWire("handover"), "5c0e7a21d94b36f8")
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
	w.Header().Set(onWire("responder"), t.id)
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

// recordArrival records that a request has reached the target.
func (t *target) recordArrival(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrived[id] = true
}

func (t *target) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(onWire("request-id"))
	w.Header().Set(onWire("request-id"), id)
	if meant := r.Header.Get(onWire("meant-for")); meant != "" && meant != t.id {
		w.Header().Set(onWire("responder"), t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.recordArrival(id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case t.queue <- struct{}{}:
		defer func() { <-t.queue }()
	default:
		w.Header().Set(onWire("not-run"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-r.Context().Done():
		return
	}
	key, err := strconv.Atoi(r.Header.Get(onWire("key")))
	if err != nil || key < 0 || key >= allKeys {
		key = 0
	}
	if !t.begin(key) {
		w.Header().Set(onWire("not-run"), "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	start := time.Now()
	t.system.record.line("%s runs %s %s key %d", t.id, r.Method, id, key)
	time.Sleep(t.work())
	held := t.finish(id, key, start)
	w.Header().Set(onWire("signature"), "3e1b."+id)
	w.Header().Set(onWire("load"), fmt.Sprintf("%d,%d,%d", len(t.slots), max(0, len(t.queue)-len(t.slots)), targetSlots))
	if !held {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, "done "+id+"\n")
}

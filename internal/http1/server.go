package http1

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

const (
	writeTime  = 10 * time.Second       // for an answer to a caller that reads slowly
	maxAhead   = 16                     // requests of one connection that are under way together
	lingerTime = 500 * time.Millisecond // in which a caller may still read an answer before the connection is reset
	acceptGap  = 5 * time.Millisecond   // after a connection could not be taken, most likely for lack of descriptors
	bufferSize = 4 << 10
	headSlack  = bufferSize // bytes of a body that the reader may have taken in with the head
)

// Handler answers one request; ctx ends when the caller leaves.
type Handler func(ctx context.Context, x *Exchange)

// Server serves connections of callers.
type Server struct {
	handle Handler
	limits func() Limits

	mu       sync.Mutex
	draining bool
	stopped  bool
	conns    map[*conn]struct{}
}

// NewServer returns a server with a handler, and limits that may change.
func NewServer(handle Handler, limits func() Limits) *Server {
	return &Server{handle: handle, limits: limits, conns: make(map[*conn]struct{})}
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptGap)
			continue
		}
		c := newConn(s, raw)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go func() {
			c.serve()
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.conns, c)
		}()
	}
}

// Drain has each connection close behind the last answer that is due on it.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// DiscardNew has no request taken in that has not been so far; what is read from now on goes nowhere.
func (s *Server) DiscardNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

func (s *Server) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// CloseIdle closes connections that wait for a request.
func (s *Server) CloseIdle() {
	for _, c := range s.all() {
		c.closeIdle()
	}
}

// Count returns the number of connections, and of those with a request under way.
func (s *Server) Count() (all, busy int) {
	conns := s.all()
	for _, c := range conns {
		if c.isBusy() {
			busy++
		}
	}
	return len(conns), busy
}

func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

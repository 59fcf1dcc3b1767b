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

// Limits bounds the size of a caller's requests and the time that the caller may take.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

const (
	writeTimeout     = 10 * time.Second       // the longest time for one write; some callers read slowly
	maxPipelined     = 16                     // the most requests of one connection that are in flight at the same time
	lingerTimeout    = 500 * time.Millisecond // time for the caller to read the last response before a connection reset
	acceptRetryDelay = 5 * time.Millisecond   // wait after Accept fails, most likely for lack of file descriptors
	lastReadTime     = 2 * time.Millisecond   // time to read what has arrived on a connection that is to be closed
	lastAcceptTime   = 10 * time.Millisecond  // time to accept the connections that were opened before the server stops to accept
	bufferSize       = 4 << 10
	headerSlack      = bufferSize // bytes of the body that the buffered reader may read together with the head
)

// Handler handles one request. The context ends when the caller leaves.
type Handler func(ctx context.Context, x *Exchange)

// Server serves the connections of callers.
type Server struct {
	handle Handler
	limits func() Limits

	mu         sync.Mutex
	draining   bool
	discarding bool
	listener   net.Listener // nil before Serve
	stopped    bool         // no more connections are to be accepted
	conns      map[*conn]struct{}
}

// NewServer returns a server with a handler. It calls limits for each request, so that the limits may change.
func NewServer(handle Handler, limits func() Limits) *Server {
	return &Server{handle: handle, limits: limits, conns: make(map[*conn]struct{})}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil && s.hasStoppedAccepting() {
			return listener.Close()
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
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

// StopAccepting closes the listener, after the connections that have been opened already were accepted. A caller whose
// connection is refused can turn to another host at once.
func (s *Server) StopAccepting(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if limited, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok {
		return limited.SetDeadline(now.Add(lastAcceptTime))
	}
	return nil
}

func (s *Server) hasStoppedAccepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// Drain makes each connection close after its last pending response.
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

// DiscardNew makes the server discard all requests that have not been admitted yet.
func (s *Server) DiscardNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discarding = true
}

func (s *Server) isDiscarding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.discarding
}

// CloseIdle closes the connections on which no request is in flight or being read.
func (s *Server) CloseIdle() {
	for _, c := range s.connections() {
		c.closeIdle()
	}
}

// Count returns the number of connections, and the number of those on which a request is in flight or being read.
func (s *Server) Count() (all, busy int) {
	conns := s.connections()
	for _, c := range conns {
		if c.isBusy() {
			busy++
		}
	}
	return len(conns), busy
}

// Open returns the number of connections on which a caller may still expect a response.
func (s *Server) Open() (count int) {
	for _, c := range s.connections() {
		if c.isOpen() {
			count++
		}
	}
	return count
}

// Unanswered returns the number of connections on which a request has been read whole and has no complete response yet.
func (s *Server) Unanswered() (count int) {
	for _, c := range s.connections() {
		if c.isUnanswered() {
			count++
		}
	}
	return count
}

func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

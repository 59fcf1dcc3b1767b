package main

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"lovagelink.example/lovagelink/internal/load"
)

// firstRelay is the first port of the relays, above those of the hosts and below those of connections.
const firstRelay = 28000

// doors are the positions of a host's ports for other hosts: control messages and forwarded requests.
var doors = []int{3, 4}

// relays pass on what hosts send to one another, each pair of hosts by relays of its own.
type relays struct {
	mu      sync.Mutex
	isCut   func(from, to string) bool
	delay   time.Duration
	changed chan struct{}
	pipes   map[*pipe]struct{}
}

// pipe is one direction of a connection.
type pipe struct {
	from, to string
	isSilent bool
}

func newRelays() *relays {
	r := &relays{pipes: make(map[*pipe]struct{})}
	r.set(0, func(string, string) bool { return false })
	return r
}

// set changes which directions are cut and by how much all is delayed.
func (r *relays) set(delay time.Duration, isCut func(from, to string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed != nil {
		close(r.changed)
	}
	r.isCut, r.delay, r.changed = isCut, delay, make(chan struct{})
}

// silence makes all connections that are open lose what they are given, for good.
func (r *relays) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		p.isSilent = true
	}
}

// open listens between two hosts.
func (r *relays) open(t *testing.T, from, to, listen, target string) {
	t.Helper()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go r.connect(from, to, near, target)
		}
	}()
}

func (r *relays) connect(from, to string, near net.Conn, target string) {
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = near.Close()
		return
	}
	go r.pump(&pipe{from: from, to: to}, near, far)
	r.pump(&pipe{from: to, to: from}, far, near)
}

// pump passes on one direction until an end closes.
func (r *relays) pump(p *pipe, from, to net.Conn) {
	r.mu.Lock()
	r.pipes[p] = struct{}{}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.pipes, p)
		r.mu.Unlock()
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if !r.pass(p) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// pass waits out a cut and a delay; it reports false on a connection that has gone silent.
func (r *relays) pass(p *pipe) bool {
	for {
		r.mu.Lock()
		isSilent, isCut, delay, changed := p.isSilent, r.isCut(p.from, p.to), r.delay, r.changed
		r.mu.Unlock()
		switch {
		case isSilent:
			return false
		case !isCut:
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}

// relayHosts has each host reach the others by way of relays.
func (s *system) relayHosts(names []string) *relays {
	s.t.Helper()
	r := newRelays()
	port := firstRelay
	for i, from := range names {
		path := filepath.Join(s.folder, "run", from+".yaml")
		data, err := os.ReadFile(path)
		if err != nil {
			s.t.Fatal(err)
		}
		text := string(data)
		for j, to := range names {
			for _, door := range doors {
				if i == j {
					continue
				}
				target, listen := address(hostPort(j, door)), address(port)
				port++
				if !strings.Contains(text, target) {
					s.t.Fatalf("%s does not name %s", path, target)
				}
				text = strings.ReplaceAll(text, target, listen)
				r.open(s.t, from, to, listen, target)
			}
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			s.t.Fatal(err)
		}
	}
	return r
}

// Real processes whose connections go silent for good, whose zone is cut off, whose words reach the leader
// but not back, and between which everything is late: every promise holds, and all is served in the end.
func TestProcessesThroughRelays(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := newSystem(t)
	s.writeSettings()
	r := s.relayHosts(hostNames)
	s.startAll()
	done := s.load(load.Gauteng(), testRate, 20*time.Second)
	none := func(string, string) bool { return false }
	time.Sleep(time.Second)
	r.silence()
	time.Sleep(4 * time.Second)
	zone := s.leader(5)[:1]
	r.set(0, func(from, to string) bool { return (from[:1] == zone) != (to[:1] == zone) })
	time.Sleep(4 * time.Second)
	r.set(0, none)
	time.Sleep(3 * time.Second)
	leader := s.leader(5)
	r.set(0, func(from, to string) bool { return from == leader && to[:1] != leader[:1] })
	time.Sleep(3 * time.Second)
	r.set(20*time.Millisecond, none)
	s.judge(<-done)
	s.await()
}

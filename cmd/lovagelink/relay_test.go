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

// firstRelayPort is the first port of the relays, above the ports of the hosts and below the ephemeral ports.
const firstRelayPort = 28000

// peerPortOffsets are the offsets of a host's ports for other hosts: control messages and forwarded requests.
var peerPortOffsets = []int{3, 4}

// relays forward the connections between hosts, with separate listeners for each ordered pair of hosts.
type relays struct {
	mu            sync.Mutex
	isPartitioned func(from, to string) bool
	delay         time.Duration
	changed       chan struct{}
	streams       map[*stream]struct{}
}

// stream is one direction of a relayed connection.
type stream struct {
	from, to     string
	isBlackholed bool
}

func newRelays() *relays {
	r := &relays{streams: make(map[*stream]struct{})}
	r.set(0, func(string, string) bool { return false })
	return r
}

// set replaces the delay of all data and the directions that are partitioned.
func (r *relays) set(delay time.Duration, isPartitioned func(from, to string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed != nil {
		close(r.changed)
	}
	r.isPartitioned, r.delay, r.changed = isPartitioned, delay, make(chan struct{})
}

// blackhole makes all open connections discard their data permanently.
func (r *relays) blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.streams {
		s.isBlackholed = true
	}
}

// listen accepts connections from one host and relays them to the target, a port of another host.
func (r *relays) listen(t *testing.T, from, to, listen, target string) {
	t.Helper()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			inbound, err := listener.Accept()
			if err != nil {
				return
			}
			go r.connect(from, to, inbound, target)
		}
	}()
}

func (r *relays) connect(from, to string, inbound net.Conn, target string) {
	outbound, err := net.Dial("tcp", target)
	if err != nil {
		_ = inbound.Close()
		return
	}
	go r.forward(&stream{from: from, to: to}, inbound, outbound)
	r.forward(&stream{from: to, to: from}, outbound, inbound)
}

// forward copies one direction of a connection until one end closes.
func (r *relays) forward(s *stream, from, to net.Conn) {
	r.mu.Lock()
	r.streams[s] = struct{}{}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.streams, s)
		r.mu.Unlock()
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if !r.awaitForward(s) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// awaitForward waits until the direction is not partitioned, and for the delay; it reports false for a blackholed
// connection.
func (r *relays) awaitForward(s *stream) bool {
	for {
		r.mu.Lock()
		isBlackholed, isPartitioned, delay, changed := s.isBlackholed, r.isPartitioned(s.from, s.to), r.delay, r.changed
		r.mu.Unlock()
		switch {
		case isBlackholed:
			return false
		case !isPartitioned:
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}

// relayHosts changes the settings of each host so that it reaches the other hosts through relays.
func (s *system) relayHosts(names []string) *relays {
	s.t.Helper()
	r := newRelays()
	port := firstRelayPort
	for i, from := range names {
		path := filepath.Join(s.folder, "run", from+".yaml")
		data, err := os.ReadFile(path)
		if err != nil {
			s.t.Fatal(err)
		}
		text := string(data)
		for j, to := range names {
			for _, offset := range peerPortOffsets {
				if i == j {
					continue
				}
				target, listen := address(portOf(j, offset)), address(port)
				port++
				if !strings.Contains(text, target) {
					s.t.Fatalf("%s does not name %s", path, target)
				}
				text = strings.ReplaceAll(text, target, listen)
				r.listen(s.t, from, to, listen, target)
			}
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			s.t.Fatal(err)
		}
	}
	return r
}

// Guarantees hold, and requests are served in the end, while open connections are blackholed, the leader's zone is
// partitioned, the leader receives messages of other zones while its own to them are held back, and all data between
// hosts is delayed.
func TestProcessesThroughRelays(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := newSystem(t)
	s.writeSettings()
	r := s.relayHosts(hostNames)
	s.startAll()
	done := s.startLoad(load.Gauteng(), testRate, 20*time.Second)
	noPartition := func(string, string) bool { return false }
	time.Sleep(time.Second)
	r.blackhole()
	time.Sleep(4 * time.Second)
	zone := s.awaitLeader(5)[:1]
	r.set(0, func(from, to string) bool { return (from[:1] == zone) != (to[:1] == zone) })
	time.Sleep(4 * time.Second)
	r.set(0, noPartition)
	time.Sleep(3 * time.Second)
	leader := s.awaitLeader(5)
	r.set(0, func(from, to string) bool { return from == leader && to[:1] != leader[:1] })
	time.Sleep(3 * time.Second)
	r.set(20*time.Millisecond, noPartition)
	s.verify(<-done)
	s.awaitServing()
}

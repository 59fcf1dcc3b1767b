package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/upsim"
	"lovagelink.example/lovagelink/pkg/verd"
)

// Ports of the test, which no other test uses, and rates of its load.
const (
	firstPort         = 26000
	firstUpstreamPort = 26800
	testHosts         = 6
	testRate          = 60  // requests per second
	floodRate         = 600 // layout requests per second, twice the capacity of the upstreams
	commandTimeout    = 20 * time.Second
)

// system is a deployment of real processes.
type system struct {
	t              *testing.T
	binary         string
	folder         string
	running        map[string]*exec.Cmd
	verifiesGrants bool // upstreams refuse requests without a valid grant
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, folder: t.TempDir(), running: make(map[string]*exec.Cmd)}
	s.binary = filepath.Join(s.folder, "lovagelink")
	requireFreePorts(t)
	build := exec.Command("go", "build", "-o", s.binary, ".")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	t.Cleanup(func() {
		for name := range s.running {
			s.kill(name)
		}
	})
	return s
}

// requireFreePorts fails the test if another process listens on one of its ports: the test would take that process's
// responses for those of its own processes.
func requireFreePorts(t *testing.T) {
	t.Helper()
	for i := range testHosts {
		for _, port := range []int{portOf(i, 0), portOf(i, 1), portOf(i, 2), portOf(i, 3), portOf(i, 4), firstUpstreamPort + i} {
			listener, err := net.Listen("tcp", address(port))
			if err != nil {
				t.Fatalf("%v; end the process of an earlier run that may use the port", err)
			}
			if err := listener.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// start starts a subcommand as a named process. The process is killed when the test process ends, even if the test is
// aborted.
func (s *system) start(name string, args ...string) {
	s.t.Helper()
	command := exec.Command(s.binary, args...)
	command.Dir = s.folder
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.running[name] = command
}

func (s *system) startHost(name string) {
	s.start(name, "entry", "--settings", filepath.Join("run", name+".yaml"))
}

func (s *system) kill(name string) {
	command := s.running[name]
	delete(s.running, name)
	_ = command.Process.Kill()
	_ = command.Wait()
}

func (s *system) signal(name string, signal os.Signal) {
	if err := s.running[name].Process.Signal(signal); err != nil {
		s.t.Fatal(err)
	}
}

// run runs a subcommand to its end and returns its output.
func (s *system) run(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, s.binary, args...)
	command.Dir = s.folder
	out, err := command.CombinedOutput()
	return string(out), err
}

func address(port int) string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port)).String()
}

// portOf returns a port of host i: offset 0 is for callers, 1 for upstreams, 2 for operators, 3 and 4 for other hosts.
func portOf(i, offset int) int { return firstPort + 10*i + offset }

func (s *system) startUpstream(i int, service, zone string) {
	s.start(fmt.Sprint("upstream-", i), "upstream", "--id", fmt.Sprint(service, "-", i), "--service", service,
		"--zone", zone, "--keyed="+fmt.Sprint(service == "plan"), "--checks="+fmt.Sprint(s.verifiesGrants),
		"--address", address(firstUpstreamPort+i),
		"--entries", address(portOf(i%3, 1))+","+address(portOf(3+i%3, 1)))
}

// hostNames lists the hosts in the order of their ports.
var hostNames = []string{"a1", "b1", "c1", "a2", "b2", "c2"}

// writeSettings writes the settings files of all hosts with the settings command.
func (s *system) writeSettings() {
	s.t.Helper()
	out, err := s.run("settings", "--folder", "run", "--hosts", fmt.Sprint(testHosts), "--port", fmt.Sprint(firstPort))
	if err != nil {
		s.t.Fatalf("%v: %s", err, out)
	}
}

// startAll starts all hosts, has them accept a configuration, starts the upstreams and waits until keys are served.
func (s *system) startAll() {
	s.t.Helper()
	for _, name := range hostNames {
		s.startHost(name)
	}
	s.acceptConfig()
	for i, service := range []string{"plan", "plan", "plan", "commission", "commission", "commission"} {
		s.startUpstream(i, service, string(rune('a'+i%3)))
	}
	s.awaitServing()
}

// acceptConfig retries until the hosts accept the configuration.
func (s *system) acceptConfig() {
	s.t.Helper()
	config, err := filepath.Abs("../../examples/gauteng.yaml")
	if err != nil {
		s.t.Fatal(err)
	}
	for range 50 {
		if _, err := s.run("config", "--at", address(portOf(0, 2)), "--request-id", "first", "accept", config); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.t.Fatal("the configuration was not accepted")
}

// awaitServing waits until requests for eight keys are served.
func (s *system) awaitServing() {
	for range 200 {
		served := 0
		for key := range 8 {
			response, err := http.Get(fmt.Sprintf("http://%s/plan/wall-%d/layout", address(portOf(0, 0)), key))
			if err == nil {
				if response.Header.Get(verd.Header) == verd.Ran.String() {
					served++
				}
				response.Body.Close()
			}
		}
		if served == 8 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Fatal("requests for eight keys were not all served")
}

// awaitLeader queries a host until it reports a leader whose process is running, and returns the leader's name.
func (s *system) awaitLeader(i int) string {
	s.t.Helper()
	for range 100 {
		if name := s.leaderSeenBy(i); s.running[name] != nil {
			return name
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Fatal("no running leader was reported")
	return ""
}

// leaderSeenBy returns the leader that a host reports, or "".
func (s *system) leaderSeenBy(i int) string {
	response, err := http.Get("http://" + address(portOf(i, 2)) + "/status")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var status struct {
		Leader string `json:"leader"`
	}
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return ""
	}
	return status.Leader
}

// freeze pauses a process with SIGSTOP for a period.
func (s *system) freeze(name string, period time.Duration) {
	s.signal(name, syscall.SIGSTOP)
	time.Sleep(period)
	s.signal(name, syscall.SIGCONT)
}

func (s *system) readLedgers(count int) []upsim.Run {
	var runs []upsim.Run
	for i := range count {
		response, err := http.Get("http://" + address(firstUpstreamPort+i) + "/lovagelink/ledger")
		if err != nil {
			s.t.Fatal(err)
		}
		var upstreamRuns []upsim.Run
		if err := json.NewDecoder(response.Body).Decode(&upstreamRuns); err != nil {
			s.t.Fatal(err)
		}
		response.Body.Close()
		runs = append(runs, upstreamRuns...)
	}
	return runs
}

// Guarantees hold while processes are frozen and resumed (an upstream, a dispatcher's host, the leader's host), a
// replica's host is killed and restarted with an empty disk, and another replica is killed once the first has caught
// up: a resumed process may act on an expired lease or grant, and a replica that lost its disk may have forgotten what
// it promised.
func TestProcessesKeepPromises(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, verifiesGrants := range []bool{true, false} {
		t.Run(fmt.Sprint("checks-", verifiesGrants), func(t *testing.T) { runProcesses(t, verifiesGrants) })
	}
}

func runProcesses(t *testing.T, verifiesGrants bool) {
	is := is.New(t)
	s := newSystem(t)
	s.verifiesGrants = verifiesGrants
	s.writeSettings()
	s.startAll()
	done := s.startLoad(load.Gauteng(), testRate, 24*time.Second)
	time.Sleep(time.Second)
	s.freeze("upstream-0", 3*time.Second)
	s.freeze("c1", 3*time.Second)
	time.Sleep(2 * time.Second)
	s.freeze(s.awaitLeader(5), 3*time.Second)
	time.Sleep(2 * time.Second)
	s.kill("a1")
	is.NoErr(os.RemoveAll(filepath.Join(s.folder, "run", "data-a1")))
	time.Sleep(2 * time.Second)
	s.startHost("a1")
	time.Sleep(4 * time.Second)
	s.kill("b1")
	s.verify(<-done)
	out, err := s.run("config", "--at", address(portOf(0, 2)), "show")
	is.NoErr(err)
	is.True(len(out) > 100) // the configuration survived
	s.checkErrorTexts(is)
}

// Guarantees hold while a host with dispatchers and a replica is frozen for 10 s under an overload of layout requests,
// and resumed with queued requests and expired leases.
func TestProcessesFrozenInFlood(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	s := newSystem(t)
	s.writeSettings()
	s.startAll()
	workload := load.Gauteng()
	workload.Name, workload.Calls = "flood", workload.Calls[2:]
	is.Equal(workload.Calls[0].Name, "layout")
	done := s.startLoad(load.Gauteng(), testRate, 16*time.Second)
	floodDone := s.startLoad(workload, floodRate, 14*time.Second)
	time.Sleep(time.Second)
	s.freeze("c1", 10*time.Second)
	s.verify(<-done)
	s.verify(<-floodDone)
	s.awaitServing()
}

// startLoad starts sending requests to all hosts; the channel returns the result.
func (s *system) startLoad(workload load.Workload, rate float64, period time.Duration) <-chan *load.Result {
	var entries []netip.AddrPort
	for i := range hostNames {
		entries = append(entries, netip.MustParseAddrPort(address(portOf(i, 0))))
	}
	runner := load.New(load.Settings{Workload: workload, Rate: rate, Period: period, Entries: entries, Seed: 1}, peer.TCP{})
	done := make(chan *load.Result, 1)
	go func() { done <- runner.Run(context.Background()) }()
	return done
}

// verify fails the test if a guarantee was violated.
func (s *system) verify(result *load.Result) {
	s.t.Helper()
	for _, tally := range result.Tallies {
		s.t.Logf("%s: sent %d served %d refused %d unknown %d p99 %v", tally.Call.Name, tally.Sent,
			tally.Served, tally.Refused, tally.Unknown, tally.Percentile(99))
	}
	verification := result.Verify(s.readLedgers(6))
	s.t.Logf("%+v", verification)
	if !verification.OK() {
		s.t.Errorf("guarantees violated: %+v", verification)
	}
}

// checkErrorTexts runs commands with invalid input and requires errors that name the cause.
func (s *system) checkErrorTexts(is *is.I) {
	is.Helper()
	out, err := s.run("entry", "--settings", filepath.Join("run", "a2.yaml"))
	is.True(err != nil) // the addresses are in use
	s.requireContains(out, "another process")
	path := filepath.Join(s.folder, "bad.yaml")
	is.NoErr(os.WriteFile(path, []byte("name: x\nzoned: a\n"), 0o600))
	out, err = s.run("entry", "--settings", path)
	is.True(err != nil) // an unknown field
	s.requireContains(out, "zoned")
	out, err = s.run("load", "--entries", "nowhere")
	is.True(err != nil)
	s.requireContains(out, "IP:PORT")
}

func (s *system) requireContains(text, part string) {
	s.t.Helper()
	if !strings.Contains(text, part) {
		s.t.Errorf("%q is missing in %q", part, text)
	}
}

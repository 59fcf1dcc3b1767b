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

// Addresses of the test, apart from those of other tests.
const (
	firstPort    = 26000
	firstLedger  = 26800
	testHosts    = 6
	testRate     = 60
	floodRate    = 600 // layouts a second, twice what the upstreams can do
	commandLimit = 20 * time.Second
)

// system is a deployment of real processes.
type system struct {
	t       *testing.T
	binary  string
	folder  string
	running map[string]*exec.Cmd
	checks  bool // upstreams refuse orders without a valid grant
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, folder: t.TempDir(), running: make(map[string]*exec.Cmd)}
	s.binary = filepath.Join(s.folder, "lovagelink")
	mustBeFree(t)
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

// mustBeFree fails a test at once if another process has one of its ports: what it says would pass for what the test's own
// processes say.
func mustBeFree(t *testing.T) {
	t.Helper()
	for i := range testHosts {
		for _, port := range []int{hostPort(i, 0), hostPort(i, 1), hostPort(i, 2), hostPort(i, 3), hostPort(i, 4), firstLedger + i} {
			listener, err := net.Listen("tcp", address(port))
			if err != nil {
				t.Fatalf("%v; a process of an earlier run may have the port: end it", err)
			}
			if err := listener.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// start runs a subcommand as a process under a name. It ends with the test, also when that is cut short.
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

// run waits for a subcommand to end and returns what it printed.
func (s *system) run(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandLimit)
	defer cancel()
	command := exec.CommandContext(ctx, s.binary, args...)
	command.Dir = s.folder
	out, err := command.CombinedOutput()
	return string(out), err
}

func address(port int) string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port)).String()
}

// hostPort returns a port of host i: 0 for callers, 1 for upstreams, 2 for operators.
func hostPort(i, door int) int { return firstPort + 10*i + door }

func (s *system) startUpstream(i int, service, zone string) {
	s.start(fmt.Sprint("upstream-", i), "upstream", "--id", fmt.Sprint(service, "-", i), "--service", service,
		"--zone", zone, "--keyed="+fmt.Sprint(service == "plan"), "--checks="+fmt.Sprint(s.checks), "--address", address(firstLedger+i),
		"--entries", address(hostPort(i%3, 1))+","+address(hostPort(3+i%3, 1)))
}

// hostNames are the hosts in the order of their ports.
var hostNames = []string{"a1", "b1", "c1", "a2", "b2", "c2"}

// writeSettings has the settings of all hosts written.
func (s *system) writeSettings() {
	s.t.Helper()
	out, err := s.run("settings", "--folder", "run", "--hosts", fmt.Sprint(testHosts), "--port", fmt.Sprint(firstPort))
	if err != nil {
		s.t.Fatalf("%v: %s", err, out)
	}
}

// startAll starts hosts and upstreams with an accepted configuration, and waits until they serve.
func (s *system) startAll() {
	s.t.Helper()
	for _, name := range hostNames {
		s.startHost(name)
	}
	s.accept()
	for i, service := range []string{"plan", "plan", "plan", "commission", "commission", "commission"} {
		s.startUpstream(i, service, string(rune('a'+i%3)))
	}
	s.await()
}

// accept has the hosts accept a configuration as soon as they can.
func (s *system) accept() {
	s.t.Helper()
	config, err := filepath.Abs("../../examples/gauteng.yaml")
	if err != nil {
		s.t.Fatal(err)
	}
	for range 50 {
		if _, err := s.run("config", "--at", address(hostPort(0, 2)), "--request-id", "first", "accept", config); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.t.Fatal("no configuration is accepted")
}

// await retries until a key of each upstream is served.
func (s *system) await() {
	for range 200 {
		served := 0
		for key := range 8 {
			response, err := http.Get(fmt.Sprintf("http://%s/plan/wall-%d/layout", address(hostPort(0, 0)), key))
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
	s.t.Fatal("the system does not serve")
}

// leader asks a host which one leads, until it knows of one that runs.
func (s *system) leader(i int) string {
	s.t.Helper()
	for range 100 {
		if name := s.leaderBy(i); s.running[name] != nil {
			return name
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Fatal("no leader is known")
	return ""
}

// leaderBy is the leader that a host knows, or "".
func (s *system) leaderBy(i int) string {
	response, err := http.Get("http://" + address(hostPort(i, 2)) + "/status")
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

// freeze stops a process for a while and lets it go on as if nothing had happened.
func (s *system) freeze(name string, period time.Duration) {
	s.signal(name, syscall.SIGSTOP)
	time.Sleep(period)
	s.signal(name, syscall.SIGCONT)
}

func (s *system) ledgers(count int) []upsim.Run {
	var runs []upsim.Run
	for i := range count {
		response, err := http.Get("http://" + address(firstLedger+i) + "/lovagelink/ledger")
		if err != nil {
			s.t.Fatal(err)
		}
		var part []upsim.Run
		if err := json.NewDecoder(response.Body).Decode(&part); err != nil {
			s.t.Fatal(err)
		}
		response.Body.Close()
		runs = append(runs, part...)
	}
	return runs
}

// Real processes: an upstream is frozen and comes back, then a dispatcher's host, then the leader's; a
// replica's host is killed and comes back with an empty disk, and another replica is killed right after the repair.
func TestProcessesKeepPromises(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("checks-", checks), func(t *testing.T) { runProcesses(t, checks) })
	}
}

func runProcesses(t *testing.T, checks bool) {
	is := is.New(t)
	s := newSystem(t)
	s.checks = checks
	s.writeSettings()
	s.startAll()
	done := s.load(load.Gauteng(), testRate, 24*time.Second)
	time.Sleep(time.Second)
	s.freeze("upstream-0", 3*time.Second)
	s.freeze("c1", 3*time.Second)
	time.Sleep(2 * time.Second)
	s.freeze(s.leader(5), 3*time.Second)
	time.Sleep(2 * time.Second)
	s.kill("a1")
	is.NoErr(os.RemoveAll(filepath.Join(s.folder, "run", "data-a1")))
	time.Sleep(2 * time.Second)
	s.startHost("a1")
	time.Sleep(4 * time.Second)
	s.kill("b1")
	s.judge(<-done)
	out, err := s.run("config", "--at", address(hostPort(0, 2)), "show")
	is.NoErr(err)
	is.True(len(out) > 100) // the configuration has survived
	s.checkFaults(is)
}

// A host with dispatchers and a replica is frozen for 10 s amid a flood of layouts, and comes back as though
// nothing had happened.
func TestProcessesFrozenInFlood(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	s := newSystem(t)
	s.writeSettings()
	s.startAll()
	shape := load.Gauteng()
	shape.Name, shape.Calls = "flood", shape.Calls[2:]
	is.Equal(shape.Calls[0].Name, "layout")
	done := s.load(load.Gauteng(), testRate, 16*time.Second)
	flooded := s.load(shape, floodRate, 14*time.Second)
	time.Sleep(time.Second)
	s.freeze("c1", 10*time.Second)
	s.judge(<-done)
	s.judge(<-flooded)
	s.await()
}

// load begins to send requests to all hosts.
func (s *system) load(shape load.Workload, rate float64, period time.Duration) <-chan *load.Result {
	var entries []netip.AddrPort
	for i := range hostNames {
		entries = append(entries, netip.MustParseAddrPort(address(hostPort(i, 0))))
	}
	runner := load.New(load.Settings{Workload: shape, Rate: rate, Period: period, Entries: entries, Seed: 1}, peer.TCP{})
	done := make(chan *load.Result, 1)
	go func() { done <- runner.Run(context.Background()) }()
	return done
}

// judge checks every promise.
func (s *system) judge(result *load.Result) {
	s.t.Helper()
	for _, tally := range result.Tallies {
		s.t.Logf("%s: sent %d served %d refused %d unknown %d p99 %v", tally.Call.Name, tally.Sent,
			tally.Served, tally.Refused, tally.Unknown, tally.Percentile(99))
	}
	verdict := result.Verify(s.ledgers(6))
	s.t.Logf("%+v", verdict)
	if !verdict.OK() {
		s.t.Errorf("promises broken: %+v", verdict)
	}
}

// checkFaults makes mistakes and looks for an error that names the place and the remedy.
func (s *system) checkFaults(is *is.I) {
	is.Helper()
	out, err := s.run("entry", "--settings", filepath.Join("run", "a2.yaml"))
	is.True(err != nil) // the addresses are in use
	s.contains(out, "another process")
	path := filepath.Join(s.folder, "bad.yaml")
	is.NoErr(os.WriteFile(path, []byte("name: x\nzoned: a\n"), 0o600))
	out, err = s.run("entry", "--settings", path)
	is.True(err != nil) // an unknown field
	s.contains(out, "zoned")
	out, err = s.run("load", "--entries", "nowhere")
	is.True(err != nil)
	s.contains(out, "IP:PORT")
}

func (s *system) contains(text, part string) {
	s.t.Helper()
	if !strings.Contains(text, part) {
		s.t.Errorf("%q is missing in %q", part, text)
	}
}

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the machines. Each machine has a loopback address of its own, so all use the same ones.
const (
	frontPort     = 8161
	controlPort   = 8166
	readinessPort = 8167
	internalPort  = 7720
	metricsPort   = 9464 // in the commands of the deploy file
	targetPort    = 8080
)

// restartDelay is how long the platform waits before it starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// zones are the availability zones of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// machine is a machine of the deployment with one process.
type machine struct {
	name, class, zone, ip string
	role                  string // subcommand
	memoryMB              int64  // limit of the process, enforced if the case asks for it
	settings              string // path of the settings file

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{} // closed when the process has ended
	ends    int           // times that the platform has ended the process, or that it has ended by itself
	peakMB  int64
	stopped bool
}

// system is a deployment.
type system struct {
	record  *recorder
	program string
	folder  string
	prefix  string // first three numbers of the addresses
	cores   []*machine
	fronts  []*machine
}

// newSystem returns a deployment with some control hosts and entry hosts, which have not started.
func newSystem(record *recorder, program string, cores, fronts int) (*system, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{record: record, program: program, folder: folder}
	for range 100 {
		s.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if s.isFree(cores, fronts) {
			break
		}
	}
	for i := range cores {
		s.cores = append(s.cores, &machine{name: fmt.Sprintf("core-%d", i+1), class: "core", zone: zones[i%len(zones)], ip: s.ip(10 + i), role: "control", memoryMB: 280})
	}
	for i := range fronts {
		s.fronts = append(s.fronts, &machine{name: fmt.Sprintf("front-%d", i+1), class: "front", zone: zones[i%len(zones)], ip: s.ip(30 + i), role: "entry", memoryMB: 284})
	}
	for _, m := range s.machines() {
		if err := s.writeSettings(m, true); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *system) ip(host int) string { return fmt.Sprintf("%s.%d", s.prefix, host) }

func (s *system) machines() []*machine {
	return append(append([]*machine(nil), s.cores...), s.fronts...)
}

// isFree reports whether no process listens on the ports of the deployment.
func (s *system) isFree(cores, fronts int) bool {
	for host := range 10 + cores + fronts {
		for _, port := range []int{frontPort, controlPort, readinessPort, internalPort, metricsPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", s.prefix, 10+host, port))
			if err != nil {
				return false
			}
			if listener.Close() != nil {
				return false
			}
		}
	}
	return true
}

// settings are the values of a settings file.
type settings struct {
	Name, Role, Class, IP, Zone           string
	Folder                                string // data folder, of machines with a disk
	Internal, InternalTo                  int
	Seeds, Zones                          []string
	Bootstrap                             bool
	ControlPort, FrontPort, ReadinessPort int
	MemoryMB                              int64
}

// writeSettings writes the settings file of a machine in the form of the pages.
func (s *system) writeSettings(m *machine, bootstrap bool) error {
	values := settings{
		Name: m.name, Role: m.role, Class: m.class, IP: m.ip, Zone: m.zone, Internal: internalPort, InternalTo: internalPort + 15,
		Zones: zones, Bootstrap: bootstrap, ControlPort: controlPort, FrontPort: frontPort, ReadinessPort: readinessPort, MemoryMB: m.memoryMB,
	}
	for _, core := range s.cores {
		values.Seeds = append(values.Seeds, fmt.Sprintf("%s:%d", core.ip, controlPort))
	}
	if m.class == "core" {
		values.Folder = filepath.Join(s.folder, m.name)
		if err := os.MkdirAll(values.Folder, 0o700); err != nil {
			return err
		}
	}
	text, err := render("settings.tmpl", values)
	if err != nil {
		return err
	}
	m.settings = filepath.Join(s.folder, m.name+".toml")
	return os.WriteFile(m.settings, text, 0o600)
}

// startAll starts all processes.
func (s *system) startAll() error {
	for _, m := range s.machines() {
		if err := s.start(m); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of a machine with the command of the deploy file.
func (s *system) start(m *machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	logFile, err := os.OpenFile(filepath.Join(s.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	command := exec.Command(s.program, m.role, "--metrics", fmt.Sprint(metricsPort))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), onWire("settings-variable") + "=" + m.settings}
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.command, m.done = command, done
	s.record.line("%s starts", m.name)
	go func() {
		err := command.Wait()
		close(done)
		s.record.line("%s has ended: %v", m.name, err)
	}()
	return nil
}

// end kills the process of a machine and waits for its end.
func (m *machine) end() {
	m.mu.Lock()
	command, done := m.command, m.done
	m.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-done
}

// close ends all processes and removes the folder.
func (s *system) close() {
	for _, m := range s.machines() {
		m.mu.Lock()
		m.stopped = true
		m.mu.Unlock()
		m.end()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

var errNotReady = errors.New("the deployment is not ready in time")

// awaitReady waits until all entry hosts say that they are ready.
func (s *system) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, m := range s.fronts {
		for !m.isReady() {
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// isReady asks an entry host for its readiness, as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", m.ip, readinessPort, onWire("readiness")))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

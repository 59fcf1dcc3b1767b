package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Values of the small deployment's settings, and how long the rig waits for its own processes.
const (
	heartbeatInterval = 870 * time.Millisecond
	catchUp           = 4 * time.Second
	recovery          = 15 * time.Second
	grace             = 6 * time.Second
)

// Ports that are the same on all machines; each machine has a loopback address of its own.
type ports struct{ control, internal, front, ready, server int }

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) log(format string, args ...any) { fmt.Print(r.note(format, args...)) }

// note writes a line to the record alone and returns it.
func (r *recorder) note(format string, args ...any) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	if _, err := r.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return line
}

// machine is a machine of the provider that runs one process.
type machine struct {
	name, zone, ip, role string
	bootstrap            bool
	seeds                []string
	cmd                  *exec.Cmd
	done                 chan struct{} // closed when the process has ended
}

// fleet is the provider: it starts, stops and replaces machines.
type fleet struct {
	*recorder
	dir      string
	network  string // first three bytes of the machines' addresses
	ports    ports
	nextIP   int
	mu       sync.Mutex
	machines []*machine
}

func newFleet(rec *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{recorder: rec, dir: dir, network: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250)), nextIP: 10}
	base, err := freePorts(f.network+".10", 40)
	if err != nil {
		return nil, err
	}
	f.ports = ports{control: base, internal: base + 1, front: base + 20, ready: base + 21, server: base + 22}
	return f, nil
}

// freePorts returns the first of some adjacent ports that are free at an address.
func freePorts(ip string, count int) (int, error) {
	for range 50 {
		base := 20000 + rand.IntN(10000)
		isFree := true
		for port := base; port < base+count && isFree; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if isFree = err == nil; isFree {
				isFree = listener.Close() == nil
			}
		}
		if isFree {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

// address returns a new loopback address.
func (f *fleet) address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextIP++
	return fmt.Sprintf("%s.%d", f.network, f.nextIP)
}

// add adds a machine that has not started.
func (f *fleet) add(role, name, zone string) *machine {
	m := &machine{name: name, zone: zone, role: role, ip: f.address()}
	f.mu.Lock()
	f.machines = append(f.machines, m)
	f.mu.Unlock()
	return m
}

func (f *fleet) controlAddress(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.ports.control) }

func (f *fleet) frontAddress(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.ports.front) }

// settings returns the settings file of a machine in the provider's format.
func (f *fleet) settings(m *machine) []byte {
	folder := ""
	if m.role == "control" {
		folder = f.dataDir(m)
	}
	return render("settings.tmpl", struct {
		Name, Role, IP, Zone, Folder, Control, Front, Ready string
		Internal, InternalTo                                int
		Seeds                                               []string
		Bootstrap                                           bool
	}{
		m.name, m.role, m.ip, m.zone, folder, f.controlAddress(m), f.frontAddress(m), fmt.Sprintf("%s:%d", m.ip, f.ports.ready),
		f.ports.internal, f.ports.internal + 15, m.seeds, m.bootstrap,
	})
}

func (f *fleet) dataDir(m *machine) string { return filepath.Join(f.dir, m.name, "data") }

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	if err := os.MkdirAll(f.dataDir(m), 0o700); err != nil {
		return err
	}
	path := filepath.Join(f.dir, m.name, "boot.toml")
	if err := os.WriteFile(path, f.settings(m), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, m.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/lovagelink", m.role, "--metrics", "9464")
	cmd.Env = []string{onWire("settings-variable") + "=" + path, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	f.mu.Lock()
	m.cmd, m.done = cmd, done
	f.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the end of the process is what counts
		close(done)
	}()
	f.log("provider  starts %s (%s, zone %s) at %s, bootstrap %t", m.name, m.role, m.zone, m.ip, m.bootstrap)
	m.bootstrap = false // only the first start of the whole system is one
	return nil
}

// terminate sends SIGTERM, and SIGKILL after the grace time, and waits for the end of the process.
func (f *fleet) terminate(m *machine) {
	f.log("provider  SIGTERM to %s", m.name)
	_ = m.cmd.Process.Signal(syscall.SIGTERM) // a process that has ended needs none
	select {
	case <-m.done:
	case <-time.After(grace):
		_ = m.cmd.Process.Kill()
		<-m.done
	}
	f.log("provider  %s has ended", m.name)
}

// kill kills the process of a machine and waits for its end.
func (f *fleet) kill(m *machine) {
	_ = m.cmd.Process.Kill()
	<-m.done
	f.log("provider  kills %s", m.name)
}

// wipe empties the disk of a machine whose process has ended.
func (f *fleet) wipe(m *machine) error {
	f.log("provider  %s has lost its disk", m.name)
	return os.RemoveAll(f.dataDir(m))
}

// isUp reports whether the process of a machine runs.
func (f *fleet) isUp(m *machine) bool {
	if m.done == nil {
		return false
	}
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// controls returns the addresses of the control hosts that run, as the operator's list has them.
func (f *fleet) controls() (addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.role == "control" && f.isUp(m) {
			addresses = append(addresses, f.controlAddress(m))
		}
	}
	return addresses
}

// end kills all processes that were started. The processes' own logs are kept if RIG_KEEP is set.
func (f *fleet) end() {
	f.mu.Lock()
	machines := f.machines
	f.mu.Unlock()
	for _, m := range machines {
		if f.isUp(m) {
			_ = m.cmd.Process.Kill()
			<-m.done
		}
	}
	if os.Getenv("RIG_KEEP") != "" {
		fmt.Println("logs are in", f.dir)
		return
	}
	if err := os.RemoveAll(f.dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

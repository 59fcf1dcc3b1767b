package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/platform"
)

// Guards against a process that SIGHUP ends while it stops: changed settings must not cut the requests in progress.
func TestHangupDoesNotEndStoppingProcess(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	binary := filepath.Join(folder, "lovagelink")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	example, err := os.ReadFile("../../platform/testdata/settings.toml")
	is.NoErr(err)
	const ip = "127.77.3.10"
	settings := strings.ReplaceAll(string(example), "10.1.0.10", ip)
	path := filepath.Join(folder, "settings.toml")
	is.NoErr(os.WriteFile(path, []byte(settings), 0o600))
	command := exec.Command(binary, "entry")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	is.NoErr(command.Start())
	defer func() { _ = command.Process.Kill() }()
	waitUntil(t, "callers are accepted", func() bool { return isOpen(ip, 8161) })
	conn, err := net.Dial("tcp", ip+":8161")
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST /x/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n1") // is in progress
	is.NoErr(err)
	is.NoErr(command.Process.Signal(syscall.SIGTERM))
	time.Sleep(300 * time.Millisecond)
	is.NoErr(command.Process.Signal(syscall.SIGHUP))
	time.Sleep(300 * time.Millisecond)
	_, err = fmt.Fprint(conn, "2")
	is.NoErr(err)
	answer := make([]byte, 12)
	_, err = conn.Read(answer)
	is.NoErr(err)
	is.Equal(string(answer), "HTTP/1.1 503")
	is.NoErr(command.Wait()) // an end by a signal is an error
}

// waitUntil calls check until it reports true, and fails the test if that takes too long.
func waitUntil(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for range 1000 {
		if check() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("timed out waiting for " + condition)
}

func isOpen(ip string, port int) bool {
	conn, err := net.Dial("tcp", net.JoinHostPort(ip, fmt.Sprint(port)))
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

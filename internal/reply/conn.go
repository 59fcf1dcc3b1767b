package reply

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// conn is a connection whose Read tells a reset from the end of the data.
type conn struct {
	net.Conn
}

// WithResets returns a connection whose Read returns ECONNRESET in place of io.EOF if the connection was reset. The kernel
// tells a reset to one call only. If that is a write, a read that follows finds the end of the data, and a response
// without a length would pass for a whole one.
func WithResets(raw net.Conn) net.Conn { return &conn{raw} }

func (c *conn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if errors.Is(err, io.EOF) && wasReset(c.Conn) {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return n, err
}

// wasReset reports whether a connection that is open here has ended without the other side's end of the data. A connection
// of another kind, as in tests, has no such state.
func wasReset(raw net.Conn) bool {
	socket, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return true // closed here
	}
	state := uint8(unix.BPF_TCP_CLOSE)
	err = control.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return err != nil || state == unix.BPF_TCP_CLOSE
}

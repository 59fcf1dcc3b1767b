package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

func itoa(n int) string { return strconv.Itoa(n) }

func hasBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// ErrUnsent says that nothing of a request has reached the upstream.
var ErrUnsent = errors.New("the request was not sent")

// unackedTime is how long sent data may go without an acknowledgement before a connection counts as broken. It is
// above the time that a packet takes that is sent again twice.
const unackedTime = 1500 * time.Millisecond

// ClientConn is a connection to an upstream, which serves one request at a time.
type ClientConn struct {
	raw    net.Conn
	reader *bufio.Reader
	used   time.Time     // when it last carried an answer
	idle   time.Duration // how long the upstream keeps it open, 0 if it has not said
	unsent chan struct{} // closes when the last body has been written
}

// Dial connects to an upstream.
func Dial(ctx context.Context, now time.Time, address netip.AddrPort) (*ClientConn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTime.Milliseconds()))
		})
		return errors.Join(err, failed)
	}}
	raw, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	return &ClientConn{raw: raw, reader: bufio.NewReaderSize(raw, bufferSize), used: now}, nil
}

// Outgoing is a request as it is sent.
type Outgoing struct {
	Method             string
	Target             string // as the caller sent it, with its query
	Host               string
	Header             http.Header
	Body               []byte
	ForceContentLength bool // a body length is to be told also where there is no body
}

// Close ends the connection.
func (l *ClientConn) Close() { _ = l.raw.Close() }

// IsReusable reports whether the connection was open and silent a moment ago, and not idle for longer than allowed.
func (l *ClientConn) IsReusable(now time.Time, longest time.Duration) bool {
	if l.idle > 0 {
		longest = min(longest, l.idle)
	}
	if now.Sub(l.used) > longest || l.reader.Buffered() > 0 {
		return false
	}
	conn, ok := l.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	isOpen := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isOpen = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && isOpen
}

// Send writes a request; a body is written beside, since an upstream may answer before it has read it.
func (l *ClientConn) Send(out Outgoing) error {
	var head bytes.Buffer
	head.Grow(512 + len(out.Body))
	head.WriteString(out.Method + " " + out.Target + " HTTP/1.1\r\nHost: " + out.Host + "\r\n")
	if err := out.Header.Write(&head); err != nil {
		return fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	if len(out.Body) > 0 || out.ForceContentLength {
		head.WriteString("Content-Length: " + itoa(len(out.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(out.Body) <= directBody {
		head.Write(out.Body)
		_, err := l.raw.Write(head.Bytes())
		return err
	}
	written := make(chan struct{})
	l.unsent = written
	go func() {
		defer close(written)
		head.Write(out.Body)
		_, _ = l.raw.Write(head.Bytes()) // a failure shows in the answer, which does not come
	}()
	return nil
}

// directBody is the size of a body up to which writing does not wait for the reader; small windows hold it.
const directBody = 8 << 10

// Receive reads the head of the next answer.
func (l *ClientConn) Receive(method string) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(l.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= 200 {
			l.keep(answer)
			return answer, nil
		}
	}
}

// idleMargin is kept before the time after which an upstream closes an idle connection.
const idleMargin = time.Second

// keep notes for how long the upstream leaves the connection open.
func (l *ClientConn) keep(answer *http.Response) {
	const name = "timeout="
	value := answer.Header.Get("Keep-Alive")
	if at := bytes.Index([]byte(value), []byte(name)); at >= 0 {
		digits := value[at+len(name):]
		end := 0
		for end < len(digits) && digits[end] >= '0' && digits[end] <= '9' {
			end++
		}
		if seconds, err := strconv.Atoi(digits[:end]); err == nil {
			l.idle = max(time.Duration(seconds)*time.Second-idleMargin, time.Millisecond)
		}
	}
}

// Interrupt makes reads and writes under way fail.
func (l *ClientConn) Interrupt() { _ = l.raw.SetDeadline(time.Unix(1, 0)) }

// MarkIdle notes that a whole answer was read, and reports whether the connection can carry another request. One on which
// a body is still being written can't: the upstream has answered early, and expects the rest of that body.
func (l *ClientConn) MarkIdle(now time.Time, answer *http.Response) bool {
	l.used = now
	if l.unsent != nil {
		select {
		case <-l.unsent:
		default:
			return false
		}
	}
	return !answer.Close && l.reader.Buffered() == 0 && answer.ContentLength >= -1
}

// ReadBody reads a body whole, up to a limit; more is true if there is more of it.
func ReadBody(answer *http.Response, limit int64) (body []byte, more bool, err error) {
	body, err = io.ReadAll(io.LimitReader(answer.Body, limit))
	return body, int64(len(body)) == limit, err
}

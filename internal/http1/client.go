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

	"lovagelink.example/lovagelink/internal/reply"
)

func itoa(n int) string { return strconv.Itoa(n) }

func hasBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// ErrUnsent means that no part of the request has reached the upstream.
var ErrUnsent = errors.New("the request was not sent")

// unackedTimeout is how long sent data may stay unacknowledged before the connection counts as broken. It is longer
// than the delivery of a packet that is retransmitted twice.
const unackedTimeout = 1500 * time.Millisecond

// ClientConn is a connection to an upstream. It carries one request at a time.
type ClientConn struct {
	raw         net.Conn
	limited     *limitedReader
	reader      *bufio.Reader
	lastUsed    time.Time       // when the connection was opened, or last carried a complete response
	keepAlive   time.Duration   // how long the idle connection can be reused, 0 if the upstream announced no timeout
	bodyWritten chan struct{}   // closed when the last request with a large body has been written, nil if there was none
	responses   int             // final responses that have been received
	refused     map[string]bool // ids of the requests that the upstream has refused on this connection
}

// maxRefused is the number of refused requests after which a connection is not reused.
const maxRefused = 64

// RecordRefusal records that the upstream has refused a request. A faulty upstream may write the refusal once more, at
// any time: the connection must not carry the request again.
func (c *ClientConn) RecordRefusal(id string) {
	if c.refused == nil {
		c.refused = make(map[string]bool)
	}
	c.refused[id] = true
}

// HasRefusals reports whether the upstream has refused any request on this connection.
func (c *ClientConn) HasRefusals() bool { return len(c.refused) > 0 }

// HasRefused reports whether the upstream has refused a request on this connection.
func (c *ClientConn) HasRefused(id string) bool { return c.refused[id] }

// WasRefused reports whether an error on the connection means that the upstream has reset it while it was new, as an
// upstream does that accepts no more connections. The request on it may have been read nevertheless.
func (c *ClientConn) WasRefused(err error) bool {
	return c.responses == 0 && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
}

// Dial connects to an upstream.
func Dial(ctx context.Context, now time.Time, address netip.AddrPort) (*ClientConn, error) {
	// Deadlines and TCP_USER_TIMEOUT find dead connections, and each keep-alive option would cost a system call.
	dialer := net.Dialer{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}}
	raw, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	limited := &limitedReader{raw: reply.WithResets(raw), limit: -1}
	return &ClientConn{raw: raw, limited: limited, reader: bufio.NewReaderSize(limited, bufferSize), lastUsed: now}, nil
}

// Outgoing is a request to be sent to an upstream.
type Outgoing struct {
	Method             string
	Target             string // request target as the caller sent it, with the query
	Host               string
	Header             http.Header
	Body               []byte
	ForceContentLength bool // send Content-Length even if the body is empty
}

// Close closes the connection.
func (c *ClientConn) Close() { _ = c.raw.Close() }

// IsReusable reports whether the connection is open, without unread bytes, and has not been idle for longer than
// maxIdle or, if the upstream has announced an idle timeout, for longer than that timeout less keepAliveMargin.
func (c *ClientConn) IsReusable(now time.Time, maxIdle time.Duration) bool {
	if c.keepAlive > 0 {
		maxIdle = min(maxIdle, c.keepAlive)
	}
	if now.Sub(c.lastUsed) > maxIdle || c.reader.Buffered() > 0 {
		return false
	}
	conn, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	isOpen := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isOpen = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && isOpen
}

// Send writes a request. A request with a large body is written in the background, since an upstream may respond before
// it has read the body.
func (c *ClientConn) Send(out Outgoing) error {
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
	if len(out.Body) <= maxInlineBody {
		head.Write(out.Body)
		_, err := c.raw.Write(head.Bytes())
		return err
	}
	written := make(chan struct{})
	c.bodyWritten = written
	go func() {
		defer close(written)
		head.Write(out.Body)
		_, _ = c.raw.Write(head.Bytes()) // if the write fails, Receive fails too
	}()
	return nil
}

// maxInlineBody is the largest body that Send writes in the foreground. Even small TCP windows hold that much, so the
// write does not wait for the upstream to read.
const maxInlineBody = 8 << 10

// maxResponseHead limits the head of a response, together with the interim responses before it, in bytes. A faulty
// upstream may send bytes without end.
const maxResponseHead = 64 << 10

// Receive reads the head of the next final response, and skips interim (1xx) responses. An invalid response is an error, and
// so are more than maxResponseHead bytes before the body.
func (c *ClientConn) Receive(method string) (*http.Response, error) {
	c.limited.limit = maxResponseHead
	defer func() { c.limited.limit = -1 }()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := reply.Check(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			c.responses++
			c.recordKeepAlive(response)
			return response, nil
		}
	}
}

// keepAliveMargin is how long before the upstream's idle timeout a connection is no longer reused.
const keepAliveMargin = time.Second

// recordKeepAlive records how long the idle connection can be reused: the timeout in the Keep-Alive header, less
// keepAliveMargin.
func (c *ClientConn) recordKeepAlive(response *http.Response) {
	const name = "timeout="
	value := response.Header.Get("Keep-Alive")
	if at := bytes.Index([]byte(value), []byte(name)); at >= 0 {
		digits := value[at+len(name):]
		end := 0
		for end < len(digits) && digits[end] >= '0' && digits[end] <= '9' {
			end++
		}
		if seconds, err := strconv.Atoi(digits[:end]); err == nil {
			c.keepAlive = max(time.Duration(seconds)*time.Second-keepAliveMargin, time.Millisecond)
		}
	}
}

// Interrupt makes pending and later reads and writes fail.
func (c *ClientConn) Interrupt() { _ = c.raw.SetDeadline(time.Unix(1, 0)) }

// MarkIdle records that a complete response was read, and reports whether the connection can carry another request. It
// can't while the body of the last request is still being written: the upstream has responded early and expects the
// rest of that body.
func (c *ClientConn) MarkIdle(now time.Time, response *http.Response) bool {
	c.lastUsed = now
	if c.bodyWritten != nil {
		select {
		case <-c.bodyWritten:
		default:
			return false
		}
	}
	return !response.Close && c.reader.Buffered() == 0 && response.ContentLength >= -1 && len(c.refused) < maxRefused
}

// ErrBodyTooLong is returned by DiscardBody.
var ErrBodyTooLong = errors.New("the body of the response is over the limit")

// DiscardBody reads and drops the rest of a body; the error is ErrBodyTooLong if it is longer than the limit.
func DiscardBody(response *http.Response, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, limit+1))
	if err == nil && n > limit {
		return ErrBodyTooLong
	}
	return err
}

// ReadBody reads the body of a response up to a limit. The result more is true if the limit was reached, so that the
// body may continue.
func ReadBody(response *http.Response, limit int64) (body []byte, more bool, err error) {
	body, err = io.ReadAll(io.LimitReader(response.Body, limit))
	return body, int64(len(body)) == limit, err
}

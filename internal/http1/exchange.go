package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Exchange is one request of a caller and the means to respond to it.
type Exchange struct {
	Request *http.Request
	Body    []byte
	Arrived time.Time

	conn       *conn
	priorDone  <-chan struct{} // closed when all earlier requests on the connection have been finished
	finished   chan struct{}
	closeAfter bool
	complete   bool // a complete response was written
	chunked    bool // the body is sent in chunks
}

// PriorDone returns a channel that is closed when all earlier requests on the connection have been finished. A caller
// resends the requests that follow a response which closes the connection, so a non-idempotent request waits for this
// channel.
func (x *Exchange) PriorDone() <-chan struct{} { return x.priorDone }

// IsClosed reports whether an earlier response has ended the connection, so that this request gets no response.
func (x *Exchange) IsClosed() bool { return x.conn.isClosed() }

// Reply writes a complete response.
func (x *Exchange) Reply(status int, header http.Header, body []byte) {
	header.Set("Content-Length", itoa(len(body)))
	if !hasBody(status) {
		header.Del("Content-Length")
		body = nil
	}
	if x.Request != nil && x.Request.Method == http.MethodHead {
		body = nil
	}
	x.complete = x.write(status, header, body) == nil
}

// ErrNoFraming is returned by Begin for a body of unknown length to a caller that does not read chunks: the caller could
// not tell a body that breaks off from a complete one.
var ErrNoFraming = errors.New("a caller of HTTP/1.0 can't be sent a body of unknown length")

// Begin writes the head of a response whose body has a known length, or an unknown one if length is negative. Calls of
// Write and End follow.
func (x *Exchange) Begin(status int, header http.Header, length int64) error {
	if x.chunked = length < 0; !x.chunked {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
		return x.write(status, header, nil)
	}
	if !x.Request.ProtoAtLeast(1, 1) {
		return ErrNoFraming
	}
	header.Set("Transfer-Encoding", "chunked")
	return x.write(status, header, nil)
}

// Write writes a part of the response body.
func (x *Exchange) Write(part []byte) (int, error) {
	if !x.chunked {
		return x.writeRaw(part)
	}
	if len(part) == 0 {
		return 0, nil // an empty chunk would end the body
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
	if _, err := x.writeRaw(chunk); err != nil {
		return 0, err
	}
	return len(part), nil
}

func (x *Exchange) writeRaw(data []byte) (int, error) {
	if err := x.conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return x.conn.raw.Write(data)
}

// End ends the response body; without it the caller can tell that the body is incomplete.
func (x *Exchange) End() error {
	if x.chunked {
		if _, err := x.writeRaw([]byte("0\r\n\r\n")); err != nil {
			return err
		}
	}
	x.complete = true
	return nil
}

func (x *Exchange) write(status int, header http.Header, body []byte) error {
	<-x.priorDone
	if x.conn.isClosed() {
		return net.ErrClosed
	}
	if x.conn.closeIfLast(x) {
		header.Set("Connection", "close")
	}
	var out bytes.Buffer
	out.Grow(512 + len(body))
	out.WriteString("HTTP/1.1 " + itoa(status) + " " + http.StatusText(status) + "\r\n")
	if err := header.Write(&out); err != nil {
		return err
	}
	out.WriteString("\r\n")
	out.Write(body)
	_, err := x.writeRaw(out.Bytes())
	return err
}

package http1

import (
	"bytes"
	"net"
	"net/http"
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

// Begin writes the head of a response whose body has a known length. Calls of Write and End follow.
func (x *Exchange) Begin(status int, header http.Header, length int64) error {
	header.Set("Content-Length", itoa(int(length)))
	return x.write(status, header, nil)
}

// Write writes a part of the response body.
func (x *Exchange) Write(part []byte) (int, error) {
	if err := x.conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return x.conn.raw.Write(part)
}

// End marks the response body as complete.
func (x *Exchange) End() { x.complete = true }

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
	_, err := x.Write(out.Bytes())
	return err
}

package http1

import (
	"bytes"
	"net"
	"net/http"
	"time"
)

// Exchange is one request and the way to answer it.
type Exchange struct {
	Request *http.Request
	Body    []byte
	Arrived time.Time

	conn     *conn
	prior    <-chan struct{} // closes when all requests before it on its connection have been answered
	finished chan struct{}
	closes   bool
	done     bool // a whole answer was written
}

// PriorDone returns a channel that closes when all requests that were sent before this one on its connection have been
// answered. What stands behind an answer that closes the connection is sent again by the caller, so a request that must
// not run twice waits for it.
func (x *Exchange) PriorDone() <-chan struct{} { return x.prior }

// IsClosed reports whether the connection has ended behind an earlier answer, so that this request gets none.
func (x *Exchange) IsClosed() bool { return x.conn.isClosed() }

// Reply writes a whole answer.
func (x *Exchange) Reply(status int, header http.Header, body []byte) {
	header.Set("Content-Length", itoa(len(body)))
	if !hasBody(status) {
		header.Del("Content-Length")
		body = nil
	}
	if x.Request != nil && x.Request.Method == http.MethodHead {
		body = nil
	}
	x.done = x.write(status, header, body) == nil
}

// Begin writes the head of an answer whose body has a known length; Write and End follow.
func (x *Exchange) Begin(status int, header http.Header, length int64) error {
	header.Set("Content-Length", itoa(int(length)))
	return x.write(status, header, nil)
}

// Write sends a part of the body.
func (x *Exchange) Write(part []byte) (int, error) {
	if err := x.conn.raw.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return 0, err
	}
	return x.conn.raw.Write(part)
}

// End says that the body is whole.
func (x *Exchange) End() { x.done = true }

func (x *Exchange) write(status int, header http.Header, body []byte) error {
	<-x.prior
	if x.conn.isClosed() {
		return net.ErrClosed
	}
	if x.conn.closes(x) {
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

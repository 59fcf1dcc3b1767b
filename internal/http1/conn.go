package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// conn is one connection of a caller. Requests are read as they arrive, so that the end of the connection is detected
// at once. Pipelined requests are handled concurrently, and their responses are written in the order of the requests.
type conn struct {
	server   *Server
	raw      net.Conn
	limited  *limitedReader
	reader   *bufio.Reader
	inFlight chan struct{} // semaphore with one entry for each request in flight

	mu       sync.Mutex
	pending  int           // requests that have been read but have no response yet
	lastDone chan struct{} // closed when the newest request that was read has been finished
	reading  bool          // a request has been read in part
	closed   bool          // a response announced the end of the connection, or was broken off
	lingers  bool          // the server waits for the caller to read the last response
}

func newConn(server *Server, raw net.Conn) *conn {
	last := make(chan struct{})
	close(last)
	c := &conn{server: server, raw: raw, limited: &limitedReader{raw: raw, limit: -1}, inFlight: make(chan struct{}, maxPipelined), lastDone: last}
	c.reader = bufio.NewReaderSize(c.limited, bufferSize)
	return c
}

// serve reads requests and starts a handler for each until the connection ends.
func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	var handlers sync.WaitGroup
	defer func() {
		cancel() // the caller has left, or no more responses are sent to it
		handlers.Wait()
		_ = c.raw.Close() // an error has no consequence, since the connection has ended
	}()
	for {
		x, err := c.readRequest()
		if err != nil {
			if status := statusOf(err); status != 0 && !c.isClosed() {
				c.refuse(status, err, cancel)
			}
			if c.isClosed() {
				handlers.Wait()
				c.linger()
			}
			return
		}
		c.inFlight <- struct{}{}
		if !c.admit(x) { // the caller sends it again
			if !c.server.isDiscarding() {
				continue // it stands behind a response that closes the connection
			}
			handlers.Wait()
			if c.isClosed() {
				c.linger()
			}
			return
		}
		handlers.Go(func() {
			c.server.handle(ctx, x)
			c.finish(x)
			<-c.inFlight
		})
		if x.Request.Close {
			_, _ = io.Copy(io.Discard, c.reader) // ends when the caller leaves, or after the response
			if c.isClosed() {
				handlers.Wait()
				c.linger()
			}
			return
		}
	}
}

// refuse responds to a request that can't be read, after the responses to earlier requests. It calls onGone if the
// caller leaves before that.
func (c *conn) refuse(status int, err error, onGone func()) {
	if c.raw.SetReadDeadline(time.Time{}) != nil {
		return
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.raw) // ends when the caller leaves or the connection is closed
		onGone()
	}()
	x := &Exchange{conn: c, closeAfter: true, priorDone: c.allDone()}
	x.Reply(status, http.Header{}, []byte(err.Error()+"\n"))
}

// admit registers a request as in flight. It reports false if a response has announced the end of the connection, or if
// the server discards new requests.
func (c *conn) admit(x *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closed || c.server.isDiscarding() {
		<-c.inFlight
		return false
	}
	c.pending++
	x.priorDone, x.finished = c.lastDone, make(chan struct{})
	c.lastDone = x.finished
	return true
}

// finish ends an exchange. An exchange without a complete response ends the connection, so that the caller can tell
// that the response is truncated.
func (c *conn) finish(x *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if !x.complete && !c.closed {
		c.closed = true
		_ = c.raw.Close() // an error has no consequence, since the connection has ended
	}
	close(x.finished)
	switch { // setting the deadline fails only on a connection that has ended, which needs none
	case c.pending > 0:
	case c.closed:
		_ = c.raw.SetReadDeadline(time.Unix(1, 0)) // wakes the reader
	case !c.reading:
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.limits().IdleTime))
	}
}

// closeIfLast marks the connection as closed if the response of an exchange, which is about to be written, is the last
// one on the connection. It reports whether the connection is closed.
func (c *conn) closeIfLast(x *Exchange) bool {
	isDraining := c.server.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.closeAfter || isDraining && c.pending <= 1 && !c.reading {
		c.closed = true
	}
	return c.closed
}

// readRequest waits for a request and reads it with its body.
func (c *conn) readRequest() (*Exchange, error) {
	limits := c.server.limits()
	c.mu.Lock()
	if c.pending == 0 && !c.closed {
		if err := c.raw.SetReadDeadline(time.Now().Add(limits.IdleTime)); err != nil {
			c.mu.Unlock()
			return nil, err
		}
	}
	c.mu.Unlock()
	if _, err := c.reader.Peek(1); err != nil && !c.hasArrived(err) {
		return nil, io.EOF
	}
	c.mu.Lock()
	c.reading = true
	err := c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTime))
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	c.limited.limit = limits.HeaderBytes + headerSlack - int64(c.reader.Buffered())
	request, err := http.ReadRequest(c.reader)
	c.limited.limit = -1
	if err != nil {
		return nil, err
	}
	if err := checkRequest(request); err != nil {
		return nil, err
	}
	if request.ContentLength > limits.BodyBytes {
		return nil, errBodyTooLarge
	}
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		<-c.allDone()
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
		request.Header.Del("Expect")
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, limits.BodyBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limits.BodyBytes {
		return nil, errBodyTooLarge
	}
	x := &Exchange{Request: request, Body: body, Arrived: time.Now(), conn: c}
	x.closeAfter = request.Close || !request.ProtoAtLeast(1, 1)
	request.Close = x.closeAfter
	return x, c.raw.SetReadDeadline(time.Time{})
}

// hasArrived reports whether a request has arrived although waiting for one has ended with an error: reads fail after their
// deadline even if there is something to read.
func (c *conn) hasArrived(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.isClosed() {
		return false
	}
	if c.raw.SetReadDeadline(time.Now().Add(lastReadTime)) != nil {
		return false
	}
	_, err = c.reader.Peek(1)
	return err == nil
}

// allDone returns a channel that is closed when all requests that were read so far have been finished.
func (c *conn) allDone() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastDone
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// isOpen reports whether the caller may still expect a response.
func (c *conn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lingers
}

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0 || c.reading
}

func (c *conn) isUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.reading && !c.lingers {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0)) // fails only on a connection that has ended, which needs no deadline
	}
}

// linger gives the caller time to read the response, since closing a connection with unread bytes resets the
// connection.
func (c *conn) linger() {
	c.mu.Lock()
	c.lingers = true
	c.mu.Unlock()
	halfCloser, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	if c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, c.raw) // ends at the deadline, or when the caller closes the connection
	}
}

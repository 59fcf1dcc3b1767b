package peer

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"lovagelink.example/lovagelink/internal/pause"
)

// maintain opens a connection whenever a call needs it, until the endpoint stops.
func (e *Endpoint) maintain(p *peerConn) error {
	for e.tomb.Alive() {
		select {
		case <-p.dialRequested:
		case <-e.tomb.Dying():
			return nil
		}
		e.connect(p)
		pause.For(e.tomb.Context(context.Background()), redialDelay)
	}
	return nil
}

// connect opens the connection and monitors it until it ends.
func (e *Endpoint) connect(p *peerConn) {
	ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), dialTimeout)
	netConn, err := e.network.Dial(ctx, p.address)
	cancel()
	if err != nil {
		p.recordFailure(time.Now())
		return
	}
	conn := e.attach(receivingConn{netConn, p})
	p.setConn(time.Now(), conn)
	defer conn.Close()
	if err := e.monitor(p, conn); err != nil {
		p.recordFailure(time.Now())
	}
	p.setConn(time.Now(), nil)
}

// monitor returns nil once the connection is idle or the endpoint stops, and an error once the connection is broken or
// a ping gets no response.
func (e *Endpoint) monitor(p *peerConn, conn *jsonrpc2.Conn) error {
	ticker := time.NewTicker(max(pingInterval, e.pingDelay/checksPerDelay))
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if p.isIdle(now) {
				return nil
			}
			if !p.needsPing(now, e.pingDelay) {
				continue
			}
			if err := e.ping(p, conn); err != nil {
				return err
			}
		case <-conn.DisconnectNotify():
			return ErrNotConnected
		case <-e.tomb.Dying():
			return nil
		}
	}
}

// ping checks that the other host still responds on this connection.
func (e *Endpoint) ping(p *peerConn, conn *jsonrpc2.Conn) error {
	ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), pingTimeout)
	defer cancel()
	var pong bool
	sentAt := time.Now()
	err := conn.Call(ctx, "ping", envelope{From: e.name}, &pong)
	if err != nil && p.hasReceivedSince(sentAt) {
		return nil // a response to a call arrives, and the response to the ping follows it
	}
	return err
}

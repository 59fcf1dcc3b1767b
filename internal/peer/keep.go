package peer

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"lovagelink.example/lovagelink/internal/pause"
)

// keep holds one link open until the hub stops.
func (h *Endpoint) keep(l *link) error {
	for h.tomb.Alive() {
		select {
		case <-l.wanted:
		case <-h.tomb.Dying():
			return nil
		}
		h.keepOnce(l)
		pause.For(h.tomb.Context(context.Background()), redialPause)
	}
	return nil
}

func (h *Endpoint) keepOnce(l *link) {
	ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), dialTimeout)
	raw, err := h.network.Dial(ctx, l.address)
	cancel()
	if err != nil {
		l.fail(time.Now())
		return
	}
	conn := h.attach(raw)
	l.set(time.Now(), conn)
	defer conn.Close()
	if err := h.watch(l, conn); err != nil {
		l.fail(time.Now())
	}
	l.set(time.Now(), nil)
}

// watch returns once the connection has ended: with nil when nobody uses it any more, with an error
// when it broke or a ping was not answered.
func (h *Endpoint) watch(l *link, conn *jsonrpc2.Conn) error {
	ticker := time.NewTicker(pingPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if l.isIdle(now) {
				return nil
			}
			if !l.isQuiet(now, h.quiet) {
				continue
			}
			if err := h.ping(l, conn); err != nil {
				return err
			}
		case <-conn.DisconnectNotify():
			return ErrNotConnected
		case <-h.tomb.Dying():
			return nil
		}
	}
}

// ping makes sure that the other end still answers on this connection.
func (h *Endpoint) ping(l *link, conn *jsonrpc2.Conn) error {
	ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), pingTimeout)
	defer cancel()
	var pong bool
	if err := conn.Call(ctx, "ping", envelope{From: h.name}, &pong); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = time.Now()
	return nil
}

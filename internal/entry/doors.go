package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"goji.io"
	"goji.io/pat"

	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/state"
)

// openDoors opens the addresses for upstreams and operators, and makes sure that the one for
// callers is free.
func (h *Host) openDoors() error {
	if err := h.open(h.settings.Upstreams, h.upstreamMux()); err != nil {
		return trace.Wrap(err, "address for upstreams; is another process using it?")
	}
	if err := h.openForward(); err != nil {
		return trace.Wrap(err, "address for forwarded requests; is another process using it?")
	}
	if err := h.open(h.settings.Operators, h.operatorMux()); err != nil {
		return trace.Wrap(err, "address for operators; is another process using it?")
	}
	listener, err := h.network.Listen(h.settings.Callers)
	if err != nil {
		return trace.Wrap(err, "address for callers; is another process using it?")
	}
	return listener.Close()
}

// openForward takes the requests of other hosts to the dispatchers here.
func (h *Host) openForward() error {
	self, _ := h.settings.Self()
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(hopPath), h.serveRun)
	return h.open(self.Forward, mux)
}

// openCallers opens the address for callers once this host knows what the leader knows. A host that
// is cut off from the leader serves from what it has after a while.
func (h *Host) openCallers() error {
	began := time.Now()
	ctx := h.tomb.Context(context.Background())
	for h.tomb.Alive() && !h.isLeaving() {
		hasWaited := time.Since(began) > stateMaxWait && h.hasConfig()
		if h.client.IsCaughtUp() || hasWaited {
			h.restored.Store(h.restoreBook(ctx))
			return h.open(h.settings.Callers, h)
		}
		pause.For(ctx, stateCheckPause)
	}
	return nil
}

func (h *Host) hasConfig() bool { return h.configVersion() > 0 }

func (h *Host) configVersion() uint64 {
	version := uint64(0)
	h.feed.Read(func(s *state.State) { version = s.ConfigVersion })
	return version
}

func (h *Host) isLeaving() bool {
	select {
	case <-h.leaving:
		return true
	default:
		return false
	}
}

// serveReady tells the platform's balancer whether to send callers here.
func (h *Host) serveReady(w http.ResponseWriter) {
	if h.isLeaving() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Host) open(address netip.AddrPort, handler http.Handler) error {
	listener, err := h.network.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.tomb.Alive() {
		return listener.Close()
	}
	h.servers = append(h.servers, server)
	h.tomb.Go(func() error { return serve(server, listener) })
	return nil
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

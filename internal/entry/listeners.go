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

// openListeners starts the servers for upstreams, forwarded requests and operators. The address for callers is
// only checked to be available, since openCallerListener opens it later.
func (h *Host) openListeners() error {
	if err := h.listenAndServe(h.settings.Upstreams, h.upstreamMux()); err != nil {
		return trace.Wrap(err, "listen on the address for upstreams; is another process using it?")
	}
	if err := h.openForwardListener(); err != nil {
		return trace.Wrap(err, "listen on the address for forwarded requests; is another process using it?")
	}
	if err := h.listenAndServe(h.settings.Operators, h.operatorMux()); err != nil {
		return trace.Wrap(err, "listen on the address for operators; is another process using it?")
	}
	listener, err := h.network.Listen(h.settings.Callers)
	if err != nil {
		return trace.Wrap(err, "listen on the address for callers; is another process using it?")
	}
	return listener.Close()
}

// openForwardListener starts the server through which other hosts forward requests to the dispatchers on this
// host.
func (h *Host) openForwardListener() error {
	self, _ := h.settings.Self()
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(runPath), h.serveRun)
	return h.listenAndServe(self.Forward, mux)
}

// openCallerListener starts the server for callers once the store of this host has caught up with the leader. A
// host that can't reach the leader starts to serve from its own state after catchUpTimeout, provided that it has
// a configuration.
func (h *Host) openCallerListener() error {
	start := time.Now()
	ctx := h.tomb.Context(context.Background())
	for h.tomb.Alive() && !h.isLeaving() {
		maySkipCatchUp := time.Since(start) > catchUpTimeout && h.hasConfig()
		if h.client.IsCaughtUp() || maySkipCatchUp {
			h.dedupRestored.Store(h.restoreDedupTable(ctx))
			return h.listenAndServe(h.settings.Callers, h)
		}
		pause.For(ctx, catchUpPollInterval)
	}
	return nil
}

func (h *Host) hasConfig() bool { return h.configVersion() > 0 }

func (h *Host) configVersion() uint64 {
	version := uint64(0)
	h.store.Read(func(s *state.State) { version = s.ConfigVersion })
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

// serveReady answers the readiness check of the platform's load balancer: a host that is stopping is not ready.
func (h *Host) serveReady(w http.ResponseWriter) {
	if h.isLeaving() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// listenAndServe listens on an address and serves it in the background, over HTTP/1 and unencrypted HTTP/2.
func (h *Host) listenAndServe(address netip.AddrPort, handler http.Handler) error {
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

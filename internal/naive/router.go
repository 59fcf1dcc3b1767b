package naive

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagelink.example/lovagelink/internal/conf"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/internal/upapi"
	"lovagelink.example/lovagelink/pkg/verd"
)

const (
	announcementTTL = 1500 * time.Millisecond
	attemptTimeout  = time.Second
	maxAttempts     = 3
)

// Router is the naive router of one entry host.
type Router struct {
	config  conf.Config
	client  *http.Client
	servers []*http.Server

	mu          sync.Mutex
	upstreams   map[string]state.Announced
	announcedAt map[string]time.Time
	semaphores  map[string]chan struct{}
}

// New returns a router that serves a configuration over a network.
func New(config conf.Config, network peer.Network) *Router {
	return &Router{
		config:      config,
		client:      &http.Client{Transport: &http.Transport{DialContext: peer.DialHTTP(network), MaxIdleConnsPerHost: 100}},
		upstreams:   make(map[string]state.Announced),
		announcedAt: make(map[string]time.Time),
		semaphores:  make(map[string]chan struct{}),
	}
}

// Start listens on the addresses for callers and upstreams and serves them.
func (r *Router) Start(network peer.Network, callers, upstreams netip.AddrPort) error {
	mux := http.NewServeMux()
	mux.HandleFunc(upapi.AnnouncePath, r.serveAnnounce)
	for address, handler := range map[netip.AddrPort]http.Handler{callers: r, upstreams: mux} {
		listener, err := network.Listen(address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
		r.servers = append(r.servers, server)
		go server.Serve(listener) //nolint:errcheck // returns after Stop
	}
	return nil
}

// Stop closes the listeners and the connections of callers, and the idle connections to upstreams.
func (r *Router) Stop() {
	for _, server := range r.servers {
		_ = server.Close()
	}
	r.client.CloseIdleConnections()
}

func (r *Router) serveAnnounce(w http.ResponseWriter, request *http.Request) {
	var announced state.Announced
	if json.NewDecoder(request.Body).Decode(&announced) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstreams[announced.ID] = announced
	r.announcedAt[announced.ID] = time.Now()
	if r.semaphores[announced.ID] == nil {
		r.semaphores[announced.ID] = make(chan struct{}, announced.Concurrency)
	}
}

// ServeHTTP forwards a request to an upstream, in up to maxAttempts attempts.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	service := r.config.ServiceForPath(request.URL.Path)
	body, err := io.ReadAll(request.Body)
	if service == nil || err != nil {
		refuse(w)
		return
	}
	id := request.Header.Get(upapi.HeaderRequestID)
	key := id
	if service.Key != nil {
		key = pathSegment(request.URL.Path, service.Key.Segment)
	}
	for range maxAttempts {
		if r.attempt(w, request, service.Name, key, body) {
			return
		}
	}
	refuse(w)
}

func refuse(w http.ResponseWriter) {
	w.Header().Set(verd.Header, verd.NotRun.String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

func pathSegment(path string, number int) string {
	parts := bytes.Split(bytes.Trim([]byte(path), "/"), []byte("/"))
	if number > len(parts) {
		return ""
	}
	return string(parts[number-1])
}

// pick selects an upstream by the hash of the key, among those that announced themselves within announcementTTL.
func (r *Router) pick(now time.Time, service, key string) (state.Announced, chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, upstream := range r.upstreams {
		if upstream.Service == service && now.Sub(r.announcedAt[id]) < announcementTTL {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return state.Announced{}, nil, false
	}
	slices.Sort(ids)
	id := ids[xxhash.Sum64String(key)%uint64(len(ids))]
	return r.upstreams[id], r.semaphores[id], true
}

func (r *Router) attempt(w http.ResponseWriter, request *http.Request, service, key string, body []byte) bool {
	upstream, semaphore, ok := r.pick(time.Now(), service, key)
	if !ok {
		return false
	}
	select {
	case semaphore <- struct{}{}:
		defer func() { <-semaphore }()
	case <-request.Context().Done():
		return false
	}
	ctx, cancel := context.WithTimeout(request.Context(), attemptTimeout)
	defer cancel()
	url := "http://" + upstream.Address.String() + request.URL.RequestURI()
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	outgoing.Header = request.Header.Clone()
	outgoing.Header.Set(upapi.HeaderService, service)
	outgoing.Header.Set(upapi.HeaderKey, key)
	if request.Method != http.MethodGet {
		outgoing.Header.Set(upapi.HeaderNonIdempotent, "true")
	}
	response, err := r.client.Do(outgoing)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	w.Header().Set(verd.Header, verd.Ran.String())
	w.Header().Set(upapi.HeaderRequestID, response.Header.Get(upapi.HeaderRequestID))
	_, _ = io.Copy(w, response.Body)
	return true
}

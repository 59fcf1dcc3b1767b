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

// Habits of the naive router.
const (
	announceKept   = 1500 * time.Millisecond
	attemptTimeout = time.Second
	attempts       = 3
)

// Router is one naive entry host.
type Router struct {
	config conf.Config
	client *http.Client
	server []*http.Server

	mu        sync.Mutex
	upstreams map[string]state.Announced
	heard     map[string]time.Time
	limits    map[string]chan struct{}
}

// New returns a router for a configuration.
func New(config conf.Config, network peer.Network) *Router {
	return &Router{
		config:    config,
		client:    &http.Client{Transport: &http.Transport{DialContext: peer.DialHTTP(network), MaxIdleConnsPerHost: 100}},
		upstreams: make(map[string]state.Announced),
		heard:     make(map[string]time.Time),
		limits:    make(map[string]chan struct{}),
	}
}

// Start opens the addresses for callers and upstreams.
func (r *Router) Start(network peer.Network, callers, upstreams netip.AddrPort) error {
	mux := http.NewServeMux()
	mux.HandleFunc(upapi.AnnouncePath, r.serveAnnounce)
	for address, handler := range map[netip.AddrPort]http.Handler{callers: r, upstreams: mux} {
		listener, err := network.Listen(address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
		r.server = append(r.server, server)
		go server.Serve(listener) //nolint:errcheck // ends with Stop
	}
	return nil
}

// Stop closes the addresses.
func (r *Router) Stop() {
	for _, server := range r.server {
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
	r.heard[announced.ID] = time.Now()
	if r.limits[announced.ID] == nil {
		r.limits[announced.ID] = make(chan struct{}, announced.Concurrency)
	}
}

// ServeHTTP sends a request on, up to three times.
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
		key = segment(request.URL.Path, service.Key.Segment)
	}
	for range attempts {
		if r.try(w, request, service.Name, key, body) {
			return
		}
	}
	refuse(w)
}

func refuse(w http.ResponseWriter) {
	w.Header().Set(verd.Header, verd.NotRun.String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

func segment(path string, number int) string {
	parts := bytes.Split(bytes.Trim([]byte(path), "/"), []byte("/"))
	if number > len(parts) {
		return ""
	}
	return string(parts[number-1])
}

// pick takes the upstream by the hash of the key over all that were heard lately.
func (r *Router) pick(now time.Time, service, key string) (state.Announced, chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, one := range r.upstreams {
		if one.Service == service && now.Sub(r.heard[id]) < announceKept {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return state.Announced{}, nil, false
	}
	slices.Sort(ids)
	id := ids[xxhash.Sum64String(key)%uint64(len(ids))]
	return r.upstreams[id], r.limits[id], true
}

func (r *Router) try(w http.ResponseWriter, request *http.Request, service, key string, body []byte) bool {
	upstream, limit, ok := r.pick(time.Now(), service, key)
	if !ok {
		return false
	}
	select {
	case limit <- struct{}{}:
		defer func() { <-limit }()
	case <-request.Context().Done():
		return false
	}
	ctx, cancel := context.WithTimeout(request.Context(), attemptTimeout)
	defer cancel()
	url := "http://" + upstream.Address.String() + request.URL.RequestURI()
	out, err := http.NewRequestWithContext(ctx, request.Method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	out.Header = request.Header.Clone()
	out.Header.Set(upapi.HeaderService, service)
	out.Header.Set(upapi.HeaderKey, key)
	if request.Method != http.MethodGet {
		out.Header.Set(upapi.HeaderNonIdempotent, "true")
	}
	response, err := r.client.Do(out)
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

package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/peer"
)

// Requests between an entry host and a dispatcher use HTTP/2, whose pings detect unresponsive connections. The
// JSON encoding of control messages would cost more for a request with its body than the rest of the path.
const (
	runPath           = "/run"
	headerRequest     = "Lovagelink-Request"
	headerOutcome     = "Lovagelink-Outcome"
	pingInterval      = 200 * time.Millisecond
	connTimeout       = 400 * time.Millisecond
	maxForwardedBytes = 64 << 20
)

// dispatcherClient sends requests to the dispatchers on other hosts.
type dispatcherClient struct {
	client    *http.Client
	addresses map[string]netip.AddrPort

	mu       sync.Mutex
	failedAt map[string]time.Time // when a request to a host last got no response
}

// failureTTL is how long requests are relayed through a third host after a host gave no response.
const failureTTL = time.Second

// canReach reports whether a host may be reachable: any host is, unless a request to it got no response recently.
func (c *dispatcherClient) canReach(now time.Time, host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.failedAt[host]) > failureTTL
}

func (c *dispatcherClient) recordFailure(now time.Time, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt[host] = now
}

func newDispatcherClient(network peer.Network, addresses map[string]netip.AddrPort) *dispatcherClient {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connTimeout)
		defer cancel()
		return peer.DialHTTP(network)(ctx, "", address)
	}
	transport := &http.Transport{
		DialContext:        dial,
		DisableCompression: true,
		Protocols:          new(http.Protocols),
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: connTimeout},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return &dispatcherClient{client: &http.Client{Transport: transport}, addresses: addresses, failedAt: make(map[string]time.Time)}
}

// run runs a request through the dispatcher on a host. An error means that no complete response arrived.
func (c *dispatcherClient) run(ctx context.Context, host string, r disp.Request) (disp.Outcome, error) {
	var outcome disp.Outcome
	body := r.Body
	r.Body = nil
	meta, err := json.Marshal(r)
	if err != nil {
		return outcome, err
	}
	url := "http://" + c.addresses[host].String() + runPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return outcome, err
	}
	request.GetBody = nil // keeps net/http from sending a request twice
	request.Header[headerRequest] = []string{string(meta)}
	response, err := c.client.Do(request)
	if err != nil {
		if ctx.Err() == nil {
			c.recordFailure(time.Now(), host)
		}
		return outcome, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return outcome, fmt.Errorf("run request on host %s: unexpected HTTP status %d", host, response.StatusCode)
	}
	if err := json.Unmarshal([]byte(response.Header.Get(headerOutcome)), &outcome); err != nil {
		return outcome, err
	}
	outcome.Body, err = io.ReadAll(response.Body)
	return outcome, err
}

// serveRun runs a request that another host has forwarded to a dispatcher on this host.
func (h *Host) serveRun(w http.ResponseWriter, request *http.Request) {
	var r disp.Request
	if err := json.Unmarshal([]byte(request.Header.Get(headerRequest)), &r); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maxForwardedBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = body
	h.remoteRequests.Add(1)
	defer h.remoteRequests.Add(-1)
	outcome := h.dispatchers.Run(request.Context(), r)
	responseBody := outcome.Body
	outcome.Body = nil
	meta, err := json.Marshal(outcome)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header()[headerOutcome] = []string{string(meta)}
	_, _ = w.Write(responseBody)
}

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

// The hop between an entry host and a dispatcher: HTTP/2, whose pings find silent connections. The
// control messages' JSON would cost more than the rest of the path for a request with its body.
const (
	hopPath       = "/run"
	headerRequest = "Lovagelink-Request"
	headerOutcome = "Lovagelink-Outcome"
	hopPing       = 200 * time.Millisecond
	hopSilence    = 400 * time.Millisecond
	maxHopBytes   = 64 << 20
)

// hop sends requests to the dispatchers of other hosts.
type hop struct {
	client    *http.Client
	addresses map[string]netip.AddrPort

	mu     sync.Mutex
	failed map[string]time.Time // when a host last gave no answer
}

// failureKept is how long a host that gave no answer is reached by way of another one.
const failureKept = time.Second

// canReach reports whether a host may answer: all may but those that gave no answer lately.
func (p *hop) canReach(now time.Time, host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.failed[host]) > failureKept
}

func (p *hop) fail(now time.Time, host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed[host] = now
}

func newHop(network peer.Network, addresses map[string]netip.AddrPort) *hop {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, hopSilence)
		defer cancel()
		return peer.DialHTTP(network)(ctx, "", address)
	}
	transport := &http.Transport{
		DialContext:        dial,
		DisableCompression: true,
		Protocols:          new(http.Protocols),
		HTTP2:              &http.HTTP2Config{SendPingTimeout: hopPing, PingTimeout: hopSilence},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return &hop{client: &http.Client{Transport: transport}, addresses: addresses, failed: make(map[string]time.Time)}
}

// run has the dispatcher on a host carry out a request; an error means that no answer came.
func (p *hop) run(ctx context.Context, host string, r disp.Request) (disp.Outcome, error) {
	var outcome disp.Outcome
	body := r.Body
	r.Body = nil
	meta, err := json.Marshal(r)
	if err != nil {
		return outcome, err
	}
	url := "http://" + p.addresses[host].String() + hopPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return outcome, err
	}
	request.GetBody = nil // a request is never sent a second time by the library
	request.Header[headerRequest] = []string{string(meta)}
	response, err := p.client.Do(request)
	if err != nil {
		if ctx.Err() == nil {
			p.fail(time.Now(), host)
		}
		return outcome, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return outcome, fmt.Errorf("host %s answered with status %d", host, response.StatusCode)
	}
	if err := json.Unmarshal([]byte(response.Header.Get(headerOutcome)), &outcome); err != nil {
		return outcome, err
	}
	outcome.Body, err = io.ReadAll(response.Body)
	return outcome, err
}

// serveRun carries out a request that another host has sent to a dispatcher here.
func (h *Host) serveRun(w http.ResponseWriter, request *http.Request) {
	var r disp.Request
	if err := json.Unmarshal([]byte(request.Header.Get(headerRequest)), &r); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maxHopBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = body
	h.hopsIn.Add(1)
	defer h.hopsIn.Add(-1)
	outcome := h.disps.Run(request.Context(), r)
	answer := outcome.Body
	outcome.Body = nil
	meta, err := json.Marshal(outcome)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header()[headerOutcome] = []string{string(meta)}
	_, _ = w.Write(answer)
}

package disp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"lovagelink.example/lovagelink/internal/once"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/upapi"
	"lovagelink.example/lovagelink/pkg/verd"
)

// Limits of a response and of a connection to an upstream.
const (
	maxResponseBytes = 16 << 20
	maxHeadBytes     = 64 << 10               // of a response; a faulty upstream may send a head without end
	idleTimeout      = 250 * time.Millisecond // a connection that is idle for longer may have failed silently
	grantIdleTimeout = 30 * time.Second       // kept open longer, so that a silent failure shows as a missed grant
)

func newClient(network peer.Network, connections int, idle time.Duration) *once.Client {
	return once.New(&http.Transport{
		DialContext:         peer.DialHTTP(network),
		MaxConnsPerHost:     max(connections, 1),
		MaxIdleConnsPerHost: max(connections, 1),
		IdleConnTimeout:     idle,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	})
}

// send sends a request to the upstream and reads the complete response. Unless startBy is zero, the upstream must start
// the request before it.
func (d *Dispatcher) send(ctx context.Context, s *ownedSlot, r Request, startBy time.Time) Outcome {
	sentAt := time.Now()
	request, err := d.buildRequest(ctx, sentAt, s, r, startBy)
	if err != nil {
		return refused(http.StatusBadRequest, err.Error(), 0)
	}
	d.Stats.Sent.Add(1)
	request, stop := d.cancelOnLoss(request, r)
	defer stop()
	outcome := d.exchange(request, r)
	d.updateLimiter(sentAt, time.Now(), outcome)
	return outcome
}

// A request on a connection that may have failed silently is cancelled after suspectFactor times the estimated service
// time plus suspectExtra.
const (
	suspectFactor = 10
	suspectExtra  = 300 * time.Millisecond
)

// cancelOnLoss returns the request with a context that is cancelled when its connection may have failed silently and,
// for an idempotent request, when the upstream is lost, since another upstream can serve it. A non-idempotent request
// to a lost upstream continues to wait for its response. The returned function releases the context.
func (d *Dispatcher) cancelOnLoss(request *http.Request, r Request) (*http.Request, func()) {
	ctx, cancel := context.WithCancel(request.Context())
	d.mu.Lock()
	delay := suspectFactor*d.limiter.serviceTime + suspectExtra
	suspect := d.connsSuspect
	d.mu.Unlock()
	stopSuspect := context.AfterFunc(suspect.ctx, func() { time.AfterFunc(delay, cancel) })
	stopLost := func() bool { return true }
	if r.Idempotent {
		stopLost = context.AfterFunc(d.upstreamLost.ctx, cancel)
	}
	return request.WithContext(ctx), func() {
		stopSuspect()
		stopLost()
		cancel()
	}
}

// buildRequest returns the HTTP request to the upstream.
func (d *Dispatcher) buildRequest(ctx context.Context, now time.Time, s *ownedSlot, r Request, startBy time.Time) (*http.Request, error) {
	url := "http://" + d.upstream.Address.String() + r.Path
	request, err := http.NewRequestWithContext(ctx, r.Method, url, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("request can't be passed on: %w", err)
	}
	request.Header = r.Header.Clone()
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	deadline, _ := ctx.Deadline()
	runBefore := minTime(d.grant.validUntil, deadline)
	if !startBy.IsZero() {
		runBefore = minTime(runBefore, startBy)
	}
	set := request.Header.Set
	set(upapi.HeaderRequestID, r.ID)
	set(upapi.HeaderService, r.Service)
	set(upapi.HeaderKey, r.Key)
	set(upapi.HeaderSlot, strconv.Itoa(s.number))
	set(upapi.HeaderEpoch, strconv.FormatUint(s.epoch, 10))
	set(upapi.HeaderDispatcherEpoch, strconv.FormatUint(d.epoch, 10))
	set(upapi.HeaderRunBefore, strconv.FormatInt(int64(d.grant.upstreamClock+runBefore.Sub(d.grant.ackedAt)), 10))
	set(upapi.HeaderDeadline, strconv.FormatInt(deadline.Sub(now).Milliseconds(), 10))
	if !r.Idempotent {
		set(upapi.HeaderNonIdempotent, "true")
	}
	return request, nil
}

// exchange sends the request and checks that the response is complete and belongs to the request.
func (d *Dispatcher) exchange(request *http.Request, r Request) Outcome {
	response, wasSent, err := d.client.Do(request)
	if err != nil {
		return d.failedOutcome(err, r, wasSent)
	}
	defer response.Body.Close()
	if verd.Parse(response.Header.Get(upapi.HeaderVerdict)) == verd.NotRun {
		// A faulty upstream may write the refusal once more, which would then pass for that of the next request.
		once.Retire(response)
	}
	body, err := readBody(request.Context(), response.Body, d.LargeResponses)
	if err != nil {
		return d.failedOutcome(err, r, true)
	}
	if len(body) > maxResponseBytes {
		return unknown(fmt.Sprintf("the answer is longer than %d bytes", maxResponseBytes))
	}
	if id := response.Header.Get(upapi.HeaderRequestID); id != "" && id != r.ID {
		d.Stats.Crossed.Add(1)
		d.client.CloseIdleConnections()
		return d.failedOutcome(errors.New("the answer belongs to another request"), r, true)
	}
	verdict := verd.Ran
	if text := response.Header.Get(upapi.HeaderVerdict); text != "" {
		verdict = verd.Parse(text)
	}
	outcome := Outcome{Verdict: verdict, Status: response.StatusCode, Header: response.Header, Body: body}
	if verdict == verd.NotRun {
		outcome.Retry = true
		outcome.Reason = "the upstream refused: " + string(bytes.TrimSpace(body))
	}
	return outcome
}

// failedOutcome returns the outcome of an exchange without a valid response. Only a request of which nothing was
// written is certain not to have run.
func (d *Dispatcher) failedOutcome(err error, r Request, wasSent bool) Outcome {
	d.Stats.Failed.Add(1)
	if !wasSent {
		return notRun("no connection to the upstream has taken the request: " + err.Error())
	}
	if errors.Is(err, context.DeadlineExceeded) {
		d.client.CloseIdleConnections()
	}
	outcome := unknown("the upstream has not answered: " + err.Error())
	outcome.Retry = r.Idempotent
	return outcome
}

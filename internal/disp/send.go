package disp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"lovagelink.example/lovagelink/internal/once"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/upapi"
	"lovagelink.example/lovagelink/pkg/verd"
)

// Limits of an answer and of a connection to an upstream.
const (
	maxAnswer   = 16 << 20               // bytes
	idleTimeout = 250 * time.Millisecond // one that is idle for longer may have gone silent
	probeIdle   = 30 * time.Second       // the prober's is kept, so that it shows silence
)

func newClient(network peer.Network, connections int, idle time.Duration) *once.Client {
	return once.New(&http.Transport{
		DialContext:         peer.DialHTTP(network),
		MaxConnsPerHost:     max(connections, 1),
		MaxIdleConnsPerHost: max(connections, 1),
		IdleConnTimeout:     idle,
		DisableCompression:  true,
	})
}

// send carries one request to the upstream and reads the whole answer. A request with a bound must be
// started before it.
func (d *Dispatcher) send(ctx context.Context, s *share, r Request, until time.Time) Outcome {
	began := time.Now()
	request, err := d.build(ctx, began, s, r, until)
	if err != nil {
		return refused(http.StatusBadRequest, err.Error(), 0)
	}
	d.Stats.Sent.Add(1)
	request, stop := d.guard(request, r)
	defer stop()
	outcome := d.exchange(request, r)
	d.settlePace(began, time.Now(), outcome)
	return outcome
}

// Patience with a request on a connection that may be silent, in times that a request takes.
const (
	suspectFactor = 10
	suspectExtra  = 300 * time.Millisecond
)

// guard ends a request on a connection that may be silent, and an idempotent one when the upstream
// is given up, since another one can serve it. Exclusive work waits for a true answer.
func (d *Dispatcher) guard(request *http.Request, r Request) (*http.Request, func()) {
	ctx, cancel := context.WithCancel(request.Context())
	d.mu.Lock()
	patience := suspectFactor*d.pace.service + suspectExtra
	suspect := d.suspect
	d.mu.Unlock()
	stopSuspect := context.AfterFunc(suspect.ctx, func() { time.AfterFunc(patience, cancel) })
	stopLost := func() bool { return true }
	if r.Idempotent {
		stopLost = context.AfterFunc(d.lost.ctx, cancel)
	}
	return request.WithContext(ctx), func() {
		stopSuspect()
		stopLost()
		cancel()
	}
}

// build makes the request to the upstream.
func (d *Dispatcher) build(ctx context.Context, now time.Time, s *share, r Request, until time.Time) (*http.Request, error) {
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
	before := minTime(d.grant.until, deadline)
	if !until.IsZero() {
		before = minTime(before, until)
	}
	set := request.Header.Set
	set(upapi.HeaderRequestID, r.ID)
	set(upapi.HeaderService, r.Service)
	set(upapi.HeaderKey, r.Key)
	set(upapi.HeaderSlot, strconv.Itoa(s.number))
	set(upapi.HeaderEpoch, strconv.FormatUint(s.epoch, 10))
	set(upapi.HeaderDispatcherEpoch, strconv.FormatUint(d.epoch, 10))
	set(upapi.HeaderRunBefore, strconv.FormatInt(int64(d.grant.clock+before.Sub(d.grant.acked)), 10))
	set(upapi.HeaderDeadline, strconv.FormatInt(deadline.Sub(now).Milliseconds(), 10))
	if !r.Idempotent {
		set(upapi.HeaderNonIdempotent, "true")
	}
	return request, nil
}

// exchange sends the request and checks that the answer is whole and its own.
func (d *Dispatcher) exchange(request *http.Request, r Request) Outcome {
	response, wasSent, err := d.client.Do(request)
	if err != nil {
		return d.failed(err, r, wasSent)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return d.failed(err, r, true)
	}
	if len(body) > maxAnswer {
		return unknown(fmt.Sprintf("the answer is longer than %d bytes", maxAnswer))
	}
	if id := response.Header.Get(upapi.HeaderRequestID); id != "" && id != r.ID {
		d.Stats.Crossed.Add(1)
		d.client.CloseIdleConnections()
		return d.failed(errors.New("the answer belongs to another request"), r, true)
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

// failed judges an exchange without an answer. Only a request of which nothing was written is sure not
// to have run.
func (d *Dispatcher) failed(err error, r Request, wasSent bool) Outcome {
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

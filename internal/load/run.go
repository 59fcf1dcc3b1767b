package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagelink.example/lovagelink/internal/once"
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/upapi"
	"lovagelink.example/lovagelink/internal/upsim"
	"lovagelink.example/lovagelink/pkg/verd"
)

const (
	// resendBackoff is multiplied by the number of the next attempt, which an attempt that was not sent doesn't raise.
	resendBackoff  = 50 * time.Millisecond
	attemptTimeout = 5 * time.Second
)

// Settings describe a load run.
type Settings struct {
	Workload Workload
	Rate     float64 // requests per second
	Period   time.Duration
	Entries  []netip.AddrPort // addresses at which the entry hosts serve callers
	Seed     uint64
}

// outcome is the outcome of one request after all of its attempts.
type outcome struct {
	due            time.Time
	hasResponse    bool
	verdict        verd.Verdict
	latency        time.Duration
	reportedNotRun bool
	reason         string
	resent         int
	truncated      int
	mismatched     int
}

// Runner sends the requests of a workload.
type Runner struct {
	settings Settings
	client   *once.Client
	result   *Result
}

// New returns a runner of the workload in the settings.
func New(settings Settings, network peer.Network) *Runner {
	return &Runner{
		settings: settings,
		client: once.New(&http.Transport{
			DialContext: peer.DialHTTP(network), MaxIdleConnsPerHost: 1024, DisableCompression: true,
		}),
		result: newResult(settings.Workload),
	}
}

// Run sends requests for the period, waits for the last responses and returns the result.
func (r *Runner) Run(ctx context.Context) *Result {
	calls := newSampler(r.settings.Workload, r.settings.Seed)
	interval := time.Duration(float64(time.Second) / r.settings.Rate)
	start := time.Now()
	r.result.start = start
	var group sync.WaitGroup
	for number := 0; ; number++ {
		due := start.Add(time.Duration(number) * interval)
		if due.Sub(start) >= r.settings.Period || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		call, path := calls.next()
		id := fmt.Sprintf("%s-%d-%d", r.settings.Workload.Name, r.settings.Seed, number)
		group.Go(func() { r.result.record(call, id, r.call(ctx, due, call, path, id)) })
	}
	group.Wait()
	r.client.CloseIdleConnections()
	return r.result
}

// call sends a request and resends it until its outcome is known or its timeout has passed.
func (r *Runner) call(ctx context.Context, due time.Time, call Call, path, id string) outcome {
	ctx, cancel := context.WithDeadline(ctx, due.Add(call.Timeout))
	defer cancel()
	o := outcome{due: due}
	firstSent := time.Now()
	for attempt := 1; ; {
		wasSent := r.attempt(ctx, call, path, id, attempt, time.Since(firstSent), &o)
		isFinal := o.hasResponse && o.verdict != verd.MayHaveRun
		if isFinal || ctx.Err() != nil {
			break
		}
		if wasSent {
			attempt++
		}
		o.resent++
		pause.For(ctx, resendBackoff*time.Duration(attempt))
	}
	o.latency = time.Since(due)
	return o
}

// entryFor returns the entry host for a request's resend, 0 being the first send. It spreads requests and their resends
// over the entry hosts like a load balancer, but makes the same choice in each run.
func (r *Runner) entryFor(id string, resend int) netip.AddrPort {
	hash := xxhash.Sum64String(id + "/" + strconv.Itoa(resend))
	return r.settings.Entries[hash%uint64(len(r.settings.Entries))]
}

// attempt sends the request once to an entry host and reports whether the request may have reached the host.
func (r *Runner) attempt(ctx context.Context, call Call, path, id string, attempt int, age time.Duration, o *outcome) bool {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	entry := r.entryFor(id, o.resent)
	var body io.Reader
	if call.Method == http.MethodPost {
		body = strings.NewReader("order " + id)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+entry.String()+path, body)
	if err != nil {
		return false
	}
	request.Header.Set(upapi.HeaderRequestID, id)
	request.Header.Set("Request-Attempt", strconv.Itoa(attempt))
	request.Header.Set("Request-Age", strconv.FormatInt(age.Milliseconds(), 10))
	response, wasSent, err := r.client.Do(request)
	if err != nil {
		return wasSent
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	o.hasResponse = true
	o.verdict = verd.Parse(response.Header.Get(verd.Header))
	o.reason = response.Header.Get("Lovagelink-Reason")
	switch o.verdict {
	case verd.NotRun:
		o.reportedNotRun = true
	case verd.Ran:
		verifyResponse(id, string(text), err, o)
	}
	return true
}

// verifyResponse counts a response that is truncated or that belongs to another request.
func verifyResponse(id, text string, err error, o *outcome) {
	bodyID, complete := upsim.VerifyBody(text)
	if err != nil || !complete {
		o.truncated++
		return
	}
	if bodyID != id {
		o.mismatched++
	}
}

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

// Periods of a caller.
const (
	resendPause    = 50 * time.Millisecond
	attemptTimeout = 5 * time.Second
)

// Settings describe a load run.
type Settings struct {
	Workload Workload
	Rate     float64 // requests a second
	Period   time.Duration
	Entries  []netip.AddrPort // callers' addresses of the entry hosts
	Seed     uint64
}

// fate is what became of one request.
type fate struct {
	due        time.Time
	answered   bool
	verdict    verd.Verdict
	took       time.Duration
	saidNotRun bool
	reason     string
	resent     int
	truncated  int
	crossed    int
}

// Runner drives callers.
type Runner struct {
	settings Settings
	client   *once.Client
	result   *Result
}

// New returns a runner.
func New(settings Settings, network peer.Network) *Runner {
	return &Runner{
		settings: settings,
		client: once.New(&http.Transport{
			DialContext: peer.DialHTTP(network), MaxIdleConnsPerHost: 1024, DisableCompression: true,
		}),
		result: newResult(settings.Workload),
	}
}

// Run sends requests for the period, waits for the last answers and returns what was seen.
func (r *Runner) Run(ctx context.Context) *Result {
	draw := newDrawer(r.settings.Workload, r.settings.Seed)
	interval := time.Duration(float64(time.Second) / r.settings.Rate)
	began := time.Now()
	r.result.began = began
	var group sync.WaitGroup
	for number := 0; ; number++ {
		due := began.Add(time.Duration(number) * interval)
		if due.Sub(began) >= r.settings.Period || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		call, path := draw.next()
		id := fmt.Sprintf("%s-%d-%d", r.settings.Workload.Name, r.settings.Seed, number)
		group.Go(func() { r.result.add(call, id, r.call(ctx, due, call, path, id)) })
	}
	group.Wait()
	r.client.CloseIdleConnections()
	return r.result
}

// call sends one request, and sends it again while its outcome is unknown.
func (r *Runner) call(ctx context.Context, due time.Time, call Call, path, id string) fate {
	ctx, cancel := context.WithDeadline(ctx, due.Add(call.Timeout))
	defer cancel()
	f := fate{due: due}
	first := time.Now()
	for attempt := 1; ; {
		wasSent := r.attempt(ctx, call, path, id, attempt, time.Since(first), &f)
		isFinal := f.answered && f.verdict != verd.MayHaveRun
		if isFinal || ctx.Err() != nil {
			break
		}
		if wasSent {
			attempt++
		}
		f.resent++
		pause.For(ctx, resendPause*time.Duration(attempt))
	}
	f.took = time.Since(due)
	return f
}

// entryFor spreads the tries of all requests over the entry hosts as a balancer would, the same in each run.
func (r *Runner) entryFor(id string, try int) netip.AddrPort {
	hash := xxhash.Sum64String(id + "/" + strconv.Itoa(try))
	return r.settings.Entries[hash%uint64(len(r.settings.Entries))]
}

// attempt sends the request once to an entry host. It reports
// whether the request can have reached the host.
func (r *Runner) attempt(ctx context.Context, call Call, path, id string, attempt int, age time.Duration, f *fate) bool {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	entry := r.entryFor(id, f.resent)
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
	f.answered = true
	f.verdict = verd.Parse(response.Header.Get(verd.Header))
	f.reason = response.Header.Get("Lovagelink-Reason")
	switch f.verdict {
	case verd.NotRun:
		f.saidNotRun = true
	case verd.Ran:
		check(id, string(text), err, f)
	}
	return true
}

// check verifies that an answer is whole and belongs to the request.
func check(id, text string, err error, f *fate) {
	found, whole := upsim.VerifyBody(text)
	if err != nil || !whole {
		f.truncated++
		return
	}
	if found != id {
		f.crossed++
	}
}

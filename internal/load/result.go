package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lovagelink.example/lovagelink/internal/upsim"
	"lovagelink.example/lovagelink/pkg/verd"
)

// maxLatency is the highest latency that a histogram records, in microseconds.
const maxLatency = 60_000_000

// Tally counts the outcomes of the requests of one call; each request counts as served, refused or unknown.
type Tally struct {
	Call     Call
	Sent     int
	Served   int
	OnTarget int
	Refused  int // verdict "not-run"
	Unknown  int // verdict "may-have-run", or no response
	Resent   int
	Latency  *hdrhistogram.Histogram // latencies of served requests in microseconds

	seconds series // outcomes by the second in which requests were due
}

// maxFailures limits Result.Failures.
const maxFailures = 200

// Failure is a request that was not served.
type Failure struct {
	ID      string
	Call    string
	Due     time.Time
	Latency time.Duration
	Reason  string
}

// Result holds the outcomes of a load run.
type Result struct {
	mu        sync.Mutex
	workload  string
	start     time.Time
	Tallies   []*Tally
	Truncated int
	Crossed   int
	Reasons   map[string]int  // number of requests that were not served, by verdict and reason
	Failures  []Failure       // the first maxFailures requests that were not served
	notRun    map[string]bool // ids of requests for which a response said "not-run"
	ran       map[string]bool // ids of requests for which a response said "ran"
}

func newResult(workload Workload) *Result {
	r := &Result{workload: workload.Name, Reasons: make(map[string]int), notRun: make(map[string]bool), ran: make(map[string]bool)}
	for _, call := range workload.Calls {
		r.Tallies = append(r.Tallies, &Tally{Call: call, Latency: hdrhistogram.New(1, maxLatency, 3)})
	}
	return r
}

func (r *Result) tally(name string) *Tally {
	for _, tally := range r.Tallies {
		if tally.Call.Name == name {
			return tally
		}
	}
	return nil
}

// record counts the outcome of one request.
func (r *Result) record(call Call, id string, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tally := r.tally(call.Name)
	tally.Sent++
	tally.Resent += o.resent
	r.Truncated += o.truncated
	r.Crossed += o.mismatched
	if o.reportedNotRun {
		r.notRun[id] = true
	}
	second := tally.seconds.at(o.due.Sub(r.start))
	switch {
	case o.hasResponse && o.verdict == verd.Ran:
		tally.Served++
		r.ran[id] = true
		if o.latency <= call.Target {
			tally.OnTarget++
			second.OnTarget++
		} else {
			second.Late++
		}
		_ = tally.Latency.RecordValue(min(o.latency.Microseconds(), maxLatency))
	case o.hasResponse && o.verdict == verd.NotRun:
		tally.Refused++
		second.Refused++
		r.recordFailure(call, id, o)
	default:
		tally.Unknown++
		second.Unknown++
		r.recordFailure(call, id, o)
	}
}

func (r *Result) recordFailure(call Call, id string, o outcome) {
	reason := o.verdict.String() + ": " + o.reason
	r.Reasons[reason]++
	if len(r.Failures) < maxFailures {
		r.Failures = append(r.Failures, Failure{id, call.Name, o.due, o.latency, reason})
	}
}

// Sent returns the number of requests of all calls.
func (r *Result) Sent() int {
	sent := 0
	for _, tally := range r.Tallies {
		sent += tally.Sent
	}
	return sent
}

// Worth returns the worth of the requests served on target, and of all requests.
func (r *Result) Worth() (served, requested float64) {
	for _, tally := range r.Tallies {
		served += float64(tally.OnTarget) * tally.Call.Worth
		requested += float64(tally.Sent) * tally.Call.Worth
	}
	return served, requested
}

// Over returns the number of served requests whose latency exceeds a limit.
func (t *Tally) Over(limit time.Duration) int {
	count := int64(0)
	for _, bucket := range t.Latency.Distribution() {
		if bucket.From > limit.Microseconds() {
			count += bucket.Count
		}
	}
	return int(count)
}

// Percentile returns a percentile, from 0 to 100, of the latencies of the served requests.
func (t *Tally) Percentile(percent float64) time.Duration {
	return time.Duration(t.Latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Verification is the comparison of the verdicts that callers received with the upstreams' ledgers.
type Verification struct {
	Requests    int
	Doubled     int
	TwoOwners   int
	Truncated   int
	Crossed     int // responses that belong to another request
	FalseNotRun int // requests that ran although a response said "not-run"
	FalseRan    int // requests that did not run although a response said "ran"
}

// Verify compares the result with the runs in the upstreams' ledgers.
func (r *Result) Verify(runs []upsim.Run) Verification {
	audit := upsim.Examine(runs)
	r.mu.Lock()
	defer r.mu.Unlock()
	verification := Verification{
		Requests: r.Sent(), Doubled: audit.Doubled, TwoOwners: audit.TwoOwners,
		Truncated: r.Truncated, Crossed: r.Crossed,
	}
	for id := range r.notRun {
		if audit.ByID[id] > 0 {
			verification.FalseNotRun++
		}
	}
	for id := range r.ran {
		if audit.ByID[id] == 0 {
			verification.FalseRan++
		}
	}
	return verification
}

// OK reports whether no guarantee was violated.
func (v Verification) OK() bool {
	return v.Doubled == 0 && v.TwoOwners == 0 && v.Truncated == 0 && v.Crossed == 0 &&
		v.FalseNotRun == 0 && v.FalseRan == 0
}

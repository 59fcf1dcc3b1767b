package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lovagelink.example/lovagelink/internal/upsim"
	"lovagelink.example/lovagelink/pkg/verd"
)

// Highest latency that a histogram holds, in microseconds.
const maxLatency = 60_000_000

// Tally counts the fates of one kind of call; each request has exactly one of them.
type Tally struct {
	Call     Call
	Sent     int
	Served   int
	OnTarget int
	Refused  int // answered "not run"
	Unknown  int // answered "may have run", or not at all
	Resent   int
	Latency  *hdrhistogram.Histogram // of served requests, in microseconds

	seconds series // of the run
}

// maxFailures bounds the list of requests that were not served.
const maxFailures = 200

// Failure is a request that was not served.
type Failure struct {
	ID      string
	Call    string
	Due     time.Time
	Latency time.Duration
	Reason  string
}

// Result is what a load run has seen.
type Result struct {
	mu        sync.Mutex
	shape     string
	began     time.Time
	Tallies   []*Tally
	Truncated int
	Crossed   int
	Reasons   map[string]int  // of requests that were not served
	Failures  []Failure       // the first of them
	notRun    map[string]bool // ids that were answered "not run"
	ran       map[string]bool // ids that were answered "ran"
}

func newResult(shape Workload) *Result {
	r := &Result{shape: shape.Name, Reasons: make(map[string]int), notRun: make(map[string]bool), ran: make(map[string]bool)}
	for _, call := range shape.Calls {
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

// add counts the fate of one request.
func (r *Result) add(call Call, id string, fate fate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tally := r.tally(call.Name)
	tally.Sent++
	tally.Resent += fate.resent
	r.Truncated += fate.truncated
	r.Crossed += fate.crossed
	if fate.saidNotRun {
		r.notRun[id] = true
	}
	second := tally.seconds.at(fate.due.Sub(r.began))
	switch {
	case fate.answered && fate.verdict == verd.Ran:
		tally.Served++
		r.ran[id] = true
		if fate.took <= call.Target {
			tally.OnTarget++
			second.OnTarget++
		} else {
			second.Late++
		}
		_ = tally.Latency.RecordValue(min(fate.took.Microseconds(), maxLatency))
	case fate.answered && fate.verdict == verd.NotRun:
		tally.Refused++
		second.Refused++
		r.fail(call, id, fate)
	default:
		tally.Unknown++
		second.Unknown++
		r.fail(call, id, fate)
	}
}

func (r *Result) fail(call Call, id string, fate fate) {
	reason := fate.verdict.String() + ": " + fate.reason
	r.Reasons[reason]++
	if len(r.Failures) < maxFailures {
		r.Failures = append(r.Failures, Failure{id, call.Name, fate.due, fate.took, reason})
	}
}

// Sent returns the number of all requests.
func (r *Result) Sent() int {
	sent := 0
	for _, tally := range r.Tallies {
		sent += tally.Sent
	}
	return sent
}

// Worth returns the worth of what was served on target, and of all that was asked for.
func (r *Result) Worth() (served, asked float64) {
	for _, tally := range r.Tallies {
		served += float64(tally.OnTarget) * tally.Call.Worth
		asked += float64(tally.Sent) * tally.Call.Worth
	}
	return served, asked
}

// Over returns how many served requests took longer than a limit.
func (t *Tally) Over(limit time.Duration) int {
	count := int64(0)
	for _, bar := range t.Latency.Distribution() {
		if bar.From > limit.Microseconds() {
			count += bar.Count
		}
	}
	return int(count)
}

// Percentile returns a latency of the served requests.
func (t *Tally) Percentile(percent float64) time.Duration {
	return time.Duration(t.Latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Verification compares what callers were told with what has run.
type Verification struct {
	Requests    int
	Doubled     int
	TwoOwners   int
	Truncated   int
	Crossed     int
	FalseNotRun int
	FalseRan    int
}

// Verify compares the result with the upstreams' ledgers.
func (r *Result) Verify(runs []upsim.Run) Verification {
	audit := upsim.Examine(runs)
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict := Verification{
		Requests: r.Sent(), Doubled: audit.Doubled, TwoOwners: audit.TwoOwners,
		Truncated: r.Truncated, Crossed: r.Crossed,
	}
	for id := range r.notRun {
		if audit.ByID[id] > 0 {
			verdict.FalseNotRun++
		}
	}
	for id := range r.ran {
		if audit.ByID[id] == 0 {
			verdict.FalseRan++
		}
	}
	return verdict
}

// OK reports whether every promise was kept.
func (v Verification) OK() bool {
	return v.Doubled == 0 && v.TwoOwners == 0 && v.Truncated == 0 && v.Crossed == 0 &&
		v.FalseNotRun == 0 && v.FalseRan == 0
}

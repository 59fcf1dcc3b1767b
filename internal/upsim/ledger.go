package upsim

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Run is one request that an upstream has executed.
type Run struct {
	ID            string    `json:"id"`
	Service       string    `json:"service"`
	Key           string    `json:"key"`
	Upstream      string    `json:"upstream"`
	Epoch         uint64    `json:"epoch"`
	NonIdempotent bool      `json:"exclusive"`
	Keyed         bool      `json:"keyed"`
	Began         time.Time `json:"began"`
	Ended         time.Time `json:"ended"`
}

// Ledger records runs, from which Examine finds requests that ran twice and keys with two owners.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
}

// Add records a run.
func (l *Ledger) Add(run Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
}

// Runs returns all recorded runs.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// Audit is the result of examining a ledger.
type Audit struct {
	Runs      int
	Doubled   int // non-idempotent requests that ran more than once
	TwoOwners int // runs of a key that overlap a run at another upstream, or carry an outdated epoch
	ByID      map[string]int
}

// Examine counts non-idempotent requests that ran more than once and runs of keys with two owners.
func Examine(runs []Run) Audit {
	audit := Audit{Runs: len(runs), ByID: make(map[string]int)}
	keys := make(map[[2]string][]Run)
	for _, run := range runs {
		audit.ByID[run.ID]++
		if run.NonIdempotent && audit.ByID[run.ID] == 2 {
			audit.Doubled++
		}
		if run.Keyed {
			key := [2]string{run.Service, run.Key}
			keys[key] = append(keys[key], run)
		}
	}
	for _, keyRuns := range keys {
		audit.TwoOwners += countViolations(keyRuns)
	}
	return audit
}

// countViolations counts the runs of one key that began before a run at another upstream had ended, or that carry a
// lower epoch than an earlier run.
func countViolations(runs []Run) int {
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(a.Began.Compare(b.Began), cmp.Compare(a.Epoch, b.Epoch))
	})
	count := 0
	var newest Run
	ended := make(map[string]time.Time)
	for _, run := range runs {
		isViolation := run.Epoch < newest.Epoch
		for upstream, lastEnd := range ended {
			isViolation = isViolation || upstream != run.Upstream && lastEnd.After(run.Began)
		}
		if isViolation {
			count++
		}
		if run.Epoch >= newest.Epoch {
			newest = run
		}
		if run.Ended.After(ended[run.Upstream]) {
			ended[run.Upstream] = run.Ended
		}
	}
	return count
}

package upsim

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Run is one piece of work that an upstream has done.
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

// Ledger records what has run, so that doubles and two owners are seen.
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

// Runs returns all runs so far.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// Audit is what a ledger shows.
type Audit struct {
	Runs      int
	Doubled   int // exclusive requests that ran more than once
	TwoOwners int // runs of a key while another upstream ran it, or under an outdated epoch
	ByID      map[string]int
}

// Examine looks for doubled work and for keys with two owners.
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
	for _, list := range keys {
		audit.TwoOwners += overlaps(list)
	}
	return audit
}

// overlaps counts the runs of one key that break the order of its owners.
func overlaps(runs []Run) int {
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(a.Began.Compare(b.Began), cmp.Compare(a.Epoch, b.Epoch))
	})
	count := 0
	var newest Run
	ended := make(map[string]time.Time)
	for _, run := range runs {
		isBroken := run.Epoch < newest.Epoch
		for owner, end := range ended {
			isBroken = isBroken || owner != run.Upstream && end.After(run.Began)
		}
		if isBroken {
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

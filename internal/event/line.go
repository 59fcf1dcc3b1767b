package event

import (
	"slices"
	"sync"
	"time"
)

// keptEvents is how many events a process keeps.
const keptEvents = 4096

// Event is one change of state.
type Event struct {
	Stamp   Stamp  `json:"stamp"`
	Host    string `json:"host"`
	Kind    string `json:"kind"`
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Timeline keeps the newest events of one process.
type Timeline struct {
	host  string
	clock *Clock

	mu     sync.Mutex
	events []Event
}

// NewTimeline returns the time line of a process.
func NewTimeline(host string, clock *Clock) *Timeline {
	return &Timeline{host: host, clock: clock}
}

// Add notes an event that happens now.
func (l *Timeline) Add(now time.Time, kind, subject, detail string) {
	one := Event{Stamp: l.clock.Next(now), Host: l.host, Kind: kind, Subject: subject, Detail: detail}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, one)
	if len(l.events) > 2*keptEvents {
		l.events = slices.Clone(l.events[keptEvents:])
	}
}

// All returns the kept events, the oldest first.
func (l *Timeline) All() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.events)
}

// Merge joins the time lines of several processes into one order.
func Merge(lines ...[]Event) []Event {
	merged := slices.Concat(lines...)
	slices.SortStableFunc(merged, func(a, b Event) int { return a.Stamp.Compare(b.Stamp) })
	return merged
}

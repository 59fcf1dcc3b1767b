package event

import (
	"slices"
	"sync"
	"time"
)

// retainedEvents is the number of events that a timeline keeps at least; it discards older events once it holds
// twice as many.
const retainedEvents = 4096

// Event is a change of state that a host recorded.
type Event struct {
	Stamp   Stamp  `json:"stamp"`
	Host    string `json:"host"`
	Kind    string `json:"kind"`
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Timeline keeps the most recent events of one process.
type Timeline struct {
	host  string
	clock *Clock

	mu     sync.Mutex
	events []Event
}

// NewTimeline returns an empty timeline for the process of a host.
func NewTimeline(host string, clock *Clock) *Timeline {
	return &Timeline{host: host, clock: clock}
}

// Add records an event that happens at the time now.
func (l *Timeline) Add(now time.Time, kind, subject, detail string) {
	event := Event{Stamp: l.clock.Next(now), Host: l.host, Kind: kind, Subject: subject, Detail: detail}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, event)
	if len(l.events) > 2*retainedEvents {
		l.events = slices.Clone(l.events[retainedEvents:])
	}
}

// All returns the retained events, the oldest first.
func (l *Timeline) All() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.events)
}

// Merge merges the events of several processes in the order of their stamps.
func Merge(timelines ...[]Event) []Event {
	merged := slices.Concat(timelines...)
	slices.SortStableFunc(merged, func(a, b Event) int { return a.Stamp.Compare(b.Stamp) })
	return merged
}

package event

import (
	"strings"
	"time"
)

// Filter selects events; an empty field matches every event.
type Filter struct {
	Host    string
	Kind    string // prefix of the kind
	Subject string
	Since   time.Time
	Until   time.Time
}

// Apply returns the matching events in their original order.
func (f Filter) Apply(events []Event) []Event {
	var matching []Event
	for _, event := range events {
		if f.matches(event) {
			matching = append(matching, event)
		}
	}
	return matching
}

func (f Filter) matches(event Event) bool {
	switch {
	case f.Host != "" && event.Host != f.Host:
		return false
	case f.Subject != "" && event.Subject != f.Subject:
		return false
	case !f.Since.IsZero() && event.Stamp.Wall.Before(f.Since):
		return false
	case !f.Until.IsZero() && event.Stamp.Wall.After(f.Until):
		return false
	}
	return strings.HasPrefix(event.Kind, f.Kind)
}

package event

import (
	"strings"
	"time"
)

// Filter picks events; an empty field lets all pass.
type Filter struct {
	Host    string
	Kind    string // beginning of the kind
	Subject string
	Since   time.Time
	Until   time.Time
}

// Apply returns the events that pass, in their order.
func (f Filter) Apply(events []Event) []Event {
	var picked []Event
	for _, one := range events {
		if f.passes(one) {
			picked = append(picked, one)
		}
	}
	return picked
}

func (f Filter) passes(one Event) bool {
	switch {
	case f.Host != "" && one.Host != f.Host:
		return false
	case f.Subject != "" && one.Subject != f.Subject:
		return false
	case !f.Since.IsZero() && one.Stamp.Wall.Before(f.Since):
		return false
	case !f.Until.IsZero() && one.Stamp.Wall.After(f.Until):
		return false
	}
	return strings.HasPrefix(one.Kind, f.Kind)
}

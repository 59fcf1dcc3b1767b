package event

import (
	"cmp"
	"sync"
	"time"
)

// Stamp is a hybrid logical timestamp: the wall-clock time, and a counter that orders events with the same time.
// An event has a higher stamp than any event that caused it, no matter how far the wall clocks are apart.
type Stamp struct {
	Wall  time.Time `json:"wall"`
	Count uint32    `json:"count"`
}

// Compare returns a negative number, zero or a positive number if s is before, equal to or after other.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(s.Wall.Compare(other.Wall), cmp.Compare(s.Count, other.Count))
}

// Clock is a hybrid logical clock: its stamps increase and are higher than every stamp that it has observed.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Next returns the stamp of an event that happens at the wall-clock time now.
func (c *Clock) Next(now time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = now.Round(0)
	if now.After(c.last.Wall) {
		c.last = Stamp{Wall: now}
	} else {
		c.last.Count++
	}
	return c.last
}

// Observe advances the clock to a stamp received from another process.
func (c *Clock) Observe(observed Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if observed.Compare(c.last) > 0 {
		c.last = observed
	}
}

package event

import (
	"cmp"
	"sync"
	"time"
)

// Stamp is a hybrid logical time: the wall clock, and a counter for events that it can't order.
// An event that another one has caused has the higher stamp, however far the wall clocks are apart.
type Stamp struct {
	Wall  time.Time `json:"wall"`
	Count uint32    `json:"count"`
}

// Compare orders two stamps.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(s.Wall.Compare(other.Wall), cmp.Compare(s.Count, other.Count))
}

// Clock hands out rising stamps and moves past every stamp that it is shown.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Next returns the stamp of an event that happens now.
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

// Observe takes in a stamp that came from another process.
func (c *Clock) Observe(seen Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seen.Compare(c.last) > 0 {
		c.last = seen
	}
}

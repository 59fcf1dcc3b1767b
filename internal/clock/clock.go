package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// tolerance is the difference between two readings of the clocks that does not count as a suspension. Reading both
// takes microseconds; a lease keeps back far more than this for slow clocks.
const tolerance = 20 * time.Millisecond

// SuspendDetector tells whether the machine has been suspended lately.
type SuspendDetector struct {
	read func() (time.Duration, error)

	mu     sync.Mutex
	offset time.Duration
	until  time.Time
}

// New returns a guard that compares the clocks of the machine.
func New() *SuspendDetector { return NewWith(suspended) }

// NewWith returns a guard for a given reading of how long the machine has been suspended since it was started.
func NewWith(read func() (time.Duration, error)) *SuspendDetector {
	g := &SuspendDetector{read: read}
	if offset, err := read(); err == nil {
		g.offset = offset
	}
	return g
}

// Reliable reports whether times that were noted up to hold ago can still be compared with now: it returns false from
// a suspension until hold after it was noticed, and when the clocks can't be read.
func (g *SuspendDetector) Reliable(now time.Time, hold time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	offset, err := g.read()
	if err != nil || offset-g.offset > tolerance {
		g.until = now.Add(hold)
	}
	if err == nil {
		g.offset = offset
	}
	return !now.Before(g.until)
}

// suspended returns for how long the machine has been suspended since it was started.
func suspended() (time.Duration, error) {
	var boot, steady unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}

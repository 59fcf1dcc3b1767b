package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// tolerance is the increase in the suspended time between two readings that does not count as a suspension. Reading
// both clocks takes microseconds; the margin of a lease for slow clocks is much larger than this.
const tolerance = 20 * time.Millisecond

// SuspendDetector detects that the machine has been suspended.
type SuspendDetector struct {
	readSuspended func() (time.Duration, error)

	mu              sync.Mutex
	suspended       time.Duration // suspended time at the last successful reading
	unreliableUntil time.Time
}

// New returns a SuspendDetector that compares the clocks of the machine.
func New() *SuspendDetector { return NewWith(suspendedTime) }

// NewWith returns a SuspendDetector that calls readSuspended for the total time for which the machine has been
// suspended since its start.
func NewWith(readSuspended func() (time.Duration, error)) *SuspendDetector {
	d := &SuspendDetector{readSuspended: readSuspended}
	if suspended, err := readSuspended(); err == nil {
		d.suspended = suspended
	}
	return d
}

// Reliable reports whether times recorded up to maxAge before now can still be compared with now. It returns false for
// maxAge after a suspension has been detected or the clocks could not be read.
func (d *SuspendDetector) Reliable(now time.Time, maxAge time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	suspended, err := d.readSuspended()
	if err != nil || suspended-d.suspended > tolerance {
		d.unreliableUntil = now.Add(maxAge)
	}
	if err == nil {
		d.suspended = suspended
	}
	return !now.Before(d.unreliableUntil)
}

// suspendedTime returns the total time for which the machine has been suspended since its start.
func suspendedTime() (time.Duration, error) {
	var bootTime, monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &bootTime); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, err
	}
	return time.Duration(bootTime.Nano() - monotonic.Nano()), nil
}

package clock

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// After a suspension, times must count as unreliable for a whole lease period: a lease that expired during the
// suspension would otherwise still seem valid.
func TestSuspensionIsNoticed(t *testing.T) {
	is := is.New(t)
	const lease = 700 * time.Millisecond
	now := time.Unix(1000, 0)
	var suspended time.Duration
	var readErr error
	detector := NewWith(func() (time.Duration, error) { return suspended, readErr })
	is.True(detector.Reliable(now, lease))
	suspended += 5 * time.Millisecond // two readings of the clocks are not simultaneous
	is.True(detector.Reliable(now, lease))
	suspended += 4 * time.Second
	is.True(!detector.Reliable(now, lease))
	is.True(!detector.Reliable(now.Add(lease-time.Millisecond), lease))
	is.True(detector.Reliable(now.Add(lease), lease))
	readErr = errors.New("no clock")
	is.True(!detector.Reliable(now.Add(time.Hour), lease))
}

func TestMachineClocksCanBeRead(t *testing.T) {
	is := is.New(t)
	_, err := suspendedTime()
	is.NoErr(err)
}

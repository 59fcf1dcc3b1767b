package clock

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A machine that was suspended trusts no lease until a new one can have been given.
func TestSuspensionIsNoticed(t *testing.T) {
	is := is.New(t)
	const lease = 700 * time.Millisecond
	now := time.Unix(1000, 0)
	var offset time.Duration
	var failure error
	guard := NewWith(func() (time.Duration, error) { return offset, failure })
	is.True(guard.Reliable(now, lease))
	offset += 5 * time.Millisecond // readings differ a little
	is.True(guard.Reliable(now, lease))
	offset += 4 * time.Second
	is.True(!guard.Reliable(now, lease))
	is.True(!guard.Reliable(now.Add(lease-time.Millisecond), lease))
	is.True(guard.Reliable(now.Add(lease), lease))
	failure = errors.New("no clock")
	is.True(!guard.Reliable(now.Add(time.Hour), lease))
}

func TestMachineClocksCanBeRead(t *testing.T) {
	is := is.New(t)
	_, err := suspended()
	is.NoErr(err)
}

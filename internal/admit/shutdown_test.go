package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that a stopping host starts although it ends before their responses.
func TestShutdownStartsOnlyWhatEndsInTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewShutdown(now.Add(5 * time.Second))
	is.True(s.MayStart(now, time.Second))
	is.True(s.MayStart(now.Add(3*time.Second), time.Second))
	is.True(!s.MayStart(now.Add(3*time.Second+time.Millisecond), time.Second))
	is.True(!s.MayStart(now.Add(6*time.Second), 0))
	is.Equal(s.Bound(now.Add(time.Second)), now.Add(time.Second))
	is.Equal(s.Bound(now.Add(time.Minute)), now.Add(5*time.Second))
}

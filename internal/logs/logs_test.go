package logs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockedOutput is an output whose writes block while its lock is held.
type blockedOutput struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (s *blockedOutput) Write(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(data)
}

// While the output blocks, lines are dropped and counted; logging does not block.
func TestWriterNeverWaits(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{}
	out.mu.Lock()
	w := NewWriter(out)
	logger := New(w)
	const lines = 30 * queueLength
	for i := range lines {
		is.NoErr(logger.Log("event", "test", "n", i)) // hangs if logging blocks
	}
	dropped := w.Dropped()
	is.True(dropped >= lines-10*queueLength) // all but the queued lines and one batch that is being written
	out.mu.Unlock()
	w.Stop()
	is.Equal(int64(strings.Count(out.out.String(), "event=test")), lines-dropped)
}

// Lines above the rate limit are dropped and counted.
func TestLimit(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{}
	w := NewWriter(out)
	logger := Limit(New(w), w, 5)
	for i := range 1000 {
		is.NoErr(logger.Log("event", fmt.Sprint("test-", i)))
	}
	w.Stop()
	is.True(w.Dropped() >= 900)
	is.True(strings.Contains(out.out.String(), "event=test-0"))
}

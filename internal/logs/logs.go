package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"
)

const (
	// queueLength is the number of lines that can wait to be written: enough for a burst of decisions within one flush.
	queueLength = 512
	// flushInterval is the delay between the first line of a batch and its write, so that one write covers many lines.
	flushInterval = 50 * time.Millisecond
	// maxBatchBytes is the size in bytes at which a batch is written even if more lines are queued.
	maxBatchBytes = 64 << 10
)

// Writer queues lines and writes them in batches.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	tomb    tomb.Tomb
}

// NewWriter returns a running writer; Stop writes the queued lines and stops it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength)}
	w.tomb.Go(w.run)
	return w
}

// Write queues a copy of a line; if the queue is full, it drops and counts the line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that have been dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Stop writes the queued lines and stops the writer.
func (w *Writer) Stop() {
	w.tomb.Kill(nil)
	_ = w.tomb.Wait()
}

func (w *Writer) run() error {
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			timer := time.NewTimer(flushInterval)
			select {
			case <-timer.C:
			case <-w.tomb.Dying():
				timer.Stop()
			}
			w.flush(line)
		case <-w.tomb.Dying():
			w.flush(nil)
			return nil
		}
		if dropped := w.Dropped(); dropped > reported {
			fmt.Fprintf(w.out, "event=lines-dropped total=%d reason=\"log queue or rate was exceeded\"\n", dropped)
			reported = dropped
		}
	}
}

// flush writes the batch together with the lines that are queued already.
func (w *Writer) flush(batch []byte) {
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			if len(batch) >= maxBatchBytes {
				_, _ = w.out.Write(batch) // a failed write can't be reported anywhere
				batch = batch[:0]
			}
			continue
		default:
		}
		break
	}
	if len(batch) > 0 {
		_, _ = w.out.Write(batch) // a failed write can't be reported anywhere
	}
}

// New returns a logger that writes logfmt lines, each with a timestamp, to w.
func New(w *Writer) log.Logger {
	return log.With(log.NewLogfmtLogger(w), "time", log.TimestampFormat(time.Now, "2006-01-02T15:04:05.000Z07:00"))
}

// Limit returns a logger that passes on at most perSecond lines a second, with bursts of up to perSecond lines, and
// counts the others as dropped.
func Limit(logger log.Logger, w *Writer, perSecond int) log.Logger {
	limiter := rate.NewLimiter(rate.Limit(perSecond), perSecond)
	return log.LoggerFunc(func(pairs ...any) error {
		if !limiter.Allow() {
			w.dropped.Add(1)
			return nil
		}
		return logger.Log(pairs...)
	})
}

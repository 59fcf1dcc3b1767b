package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, with the time since the start.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// line writes one line.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

// say writes one line to the file and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// at returns a time as seconds since the start.
func (r *recorder) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *recorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}

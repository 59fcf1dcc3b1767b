package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bodies that callers send at once, and the memory of an entry host by its settings.
const (
	largeBodyBytes   = 60_000_000 // below max_body_bytes, 67108864
	usualBodyBytes   = 4000
	bodiesAtOnce     = 3
	rounds           = 3
	entryMemoryBytes = 284 << 20
	memoryInterval   = 5 * time.Millisecond // between two looks at the memory of a process
	restartDelay     = 500 * time.Millisecond
)

// residentMemory returns the resident memory of a process in bytes, 0 if it has ended.
func residentMemory(m *machine) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			if err != nil {
				return 0
			}
			return kilobytes << 10
		}
	}
	return 0
}

// watchMemory kills the process of a machine whenever it takes more memory than the machine has, and starts it again. It
// returns how often it did so, when ctx has ended.
func watchMemory(ctx context.Context, f *fleet, m *machine) (kills int) {
	peak := int64(0)
	for ctx.Err() == nil {
		sleep(ctx, memoryInterval)
		used := residentMemory(m)
		peak = max(peak, used)
		if used <= entryMemoryBytes {
			continue
		}
		kills++
		f.log("provider  %s takes %d bytes, more than its %d", m.name, used, entryMemoryBytes)
		f.kill(m)
		time.Sleep(restartDelay)
		if err := f.start(m); err != nil {
			f.log("provider  %v", err)
			return kills
		}
	}
	f.log("provider  %s: %d ends for its memory; the most seen is %d bytes", m.name, kills, peak)
	return kills
}

// sendBodies sends requests with bodies of a size to an entry host at once, and waits for their answers.
func sendBodies(f *fleet, m *machine, round, size int) {
	body := bytes.Repeat([]byte("x"), size)
	var wait sync.WaitGroup
	for i := range bodiesAtOnce {
		wait.Go(func() {
			id := fmt.Sprintf("body-%s-%d-%d", m.name, round, i)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.frontAddress(m)+"/pufi791/x", bytes.NewReader(body))
			if err != nil {
				return
			}
			request.Host = requestHost
			request.Header.Set("X-Request-Id", id)
			request.Header.Set("X-Request-Deadline", "3000")
			start := time.Now()
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				f.log("callers   %s with %d bytes: no answer: %v", id, size, err)
				return
			}
			response.Body.Close()
			f.log("callers   %s with %d bytes: %d after %v", id, size, response.StatusCode, time.Since(start).Round(time.Millisecond))
		})
	}
	wait.Wait()
}

// bodies sends two entry hosts a few requests with large bodies at once, three times.
func bodies(f *fleet, trouble bool) error {
	d, err := deploy(f)
	if err != nil {
		return err
	}
	size := usualBodyBytes
	if trouble {
		size = largeBodyBytes
	}
	ctx, cancel := context.WithCancel(context.Background())
	var watchers sync.WaitGroup
	victims := d.fronts[:2]
	kills := make([]int, len(victims))
	for i, m := range victims {
		watchers.Go(func() { kills[i] = watchMemory(ctx, f, m) })
	}
	for round := range rounds {
		for _, m := range victims {
			sendBodies(f, m, round, size)
		}
		time.Sleep(4 * time.Second)
		d.callers.report()
	}
	cancel()
	watchers.Wait()
	d.callers.end()
	if kills[0] >= rounds && kills[1] >= rounds {
		return fmt.Errorf("%w: Fault, two of %d machines end %v times for their memory", errBroken, len(d.cores)+len(d.fronts), kills)
	}
	return nil
}

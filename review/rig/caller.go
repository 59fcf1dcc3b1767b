package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// callers sends requests at a steady rate, each by a connection of its own or a kept one.
type callers struct {
	system *system
	client *http.Client
	done   sync.WaitGroup
	served atomic.Int64
	sent   atomic.Int64

	mu  sync.Mutex
	cut []string // ids of the requests whose connection ended without an answer before their time limit
}

func newCallers(s *system) *callers {
	return &callers{system: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// newID returns a request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// hotKey returns a key, of which some are far busier than others.
func hotKey() int {
	if rand.IntN(2) == 0 {
		return 1000 + rand.IntN(3000)
	}
	return rand.IntN(allKeys)
}

// send sends one request to an entry host and returns the status, 0 if there was no answer.
func (c *callers) send(front *machine, method, pathname string, key int, limit time.Duration, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	id := newID()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", front.ip, frontPort, pathname, id), bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = callerHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Request-Deadline", fmt.Sprint(limit.Milliseconds()))
	if key >= 0 {
		request.Header.Set("X-Shard-Key", fmt.Sprint(key))
	}
	c.sent.Add(1)
	c.system.record.line("caller sends %s %s%s key %d, %d bytes, to %s", method, pathname, id, key, len(body), front.name)
	response, err := c.client.Do(request)
	if err != nil {
		c.system.record.line("caller gets no answer to %s: %v", id, err)
		if ctx.Err() == nil {
			c.mu.Lock()
			c.cut = append(c.cut, id)
			c.mu.Unlock()
		}
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.system.record.line("caller gets a truncated answer to %s: %v", id, err)
		return 0
	}
	c.system.record.line("caller gets %d to %s", response.StatusCode, id)
	if response.StatusCode == http.StatusOK {
		c.served.Add(1)
	}
	return response.StatusCode
}

// cutOff returns the ids of the requests whose connection ended without an answer before their time limit.
func (c *callers) cutOff() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.cut...)
}

// run sends views and bookings for keys to all entry hosts, some a second, until ctx ends.
func (c *callers) run(ctx context.Context, perSecond int) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.done.Wait()
			return
		}
		front := c.system.fronts[n%len(c.system.fronts)]
		isBooking := n%4 == 0
		c.done.Go(func() {
			if isBooking {
				c.send(front, http.MethodPost, bookPrefix, hotKey(), 3*time.Second, []byte("a booking"))
				return
			}
			c.send(front, http.MethodGet, viewPrefix, hotKey(), 2500*time.Millisecond, nil)
		})
	}
}

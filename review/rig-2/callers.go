package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// callers send requests to the entry hosts at a steady rate and count the answers by status.
type callers struct {
	*fleet
	fronts []*machine
	client http.Client

	mu      sync.Mutex
	sent    int
	answers map[int]int // since the last report, by status; 0 for none
	wait    sync.WaitGroup
	cancel  context.CancelFunc
}

const callerTimeout = 2500 * time.Millisecond

func newCallers(f *fleet, fronts []*machine) *callers {
	return &callers{fleet: f, fronts: fronts, answers: make(map[int]int)}
}

// start begins to send requests, one in each interval, for keys drawn at random.
func (c *callers) start(interval time.Duration, prefix string) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.wait.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				c.wait.Go(func() { c.request(prefix) })
			}
		}
	})
}

// drawKey returns a key: some keys are far busier than others, and the busy keys are close to one another.
func drawKey() int {
	if rand.IntN(2) == 0 {
		return 3000 + rand.IntN(12000)
	}
	return rand.IntN(65536)
}

func (c *callers) request(prefix string) {
	c.mu.Lock()
	c.sent++
	number := c.sent
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	front, id := c.fronts[number%len(c.fronts)], fmt.Sprintf("q-%06d", number)
	status := 0
	c.note("callers   send %s to %s", id, front.name)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.frontAddress(front)+prefix+"view", http.NoBody)
	if err == nil {
		request.Host = requestHost
		request.Header.Set(onWire("request-id"), id)
		request.Header.Set(onWire("deadline"), "2500")
		request.Header.Set(onWire("key"), fmt.Sprint(drawKey()))
		if response, err := c.client.Do(request); err == nil {
			status = response.StatusCode
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				status = 0
			}
			response.Body.Close()
		}
	}
	c.note("callers   %s is answered %d", id, status)
	c.mu.Lock()
	c.answers[status]++
	c.mu.Unlock()
}

// report logs the answers since the last report and returns the share of successes.
func (c *callers) report() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := 0
	for _, count := range c.answers {
		all += count
	}
	share := float64(c.answers[http.StatusOK]) / float64(max(1, all))
	c.log("callers   %d answers since the last line, by status, 0 for none: %v", all, c.answers)
	c.answers = make(map[int]int)
	return share
}

// end stops sending and waits for the answers.
func (c *callers) end() {
	c.cancel()
	c.wait.Wait()
}

package admit

import "time"

// hostRatio is the share of the common ratio and slack that each host uses, so that all hosts together stay within the
// budget although they receive requests at uneven rates.
const hostRatio = 0.7

// budgetBuckets is the number of buckets of the sliding window in which requests are counted.
const budgetBuckets = 10

// RetryBudget bounds how many retries this host sends to a service, relative to the number of requests.
type RetryBudget struct {
	ratio  float64
	window time.Duration
	slack  float64

	bucketStart time.Time // start of the newest bucket, which has index 0
	requests    [budgetBuckets]float64
	retries     [budgetBuckets]float64
}

// NewRetryBudget returns a budget that allows retries up to a ratio of the requests in a window, plus this host's share
// of a slack, which is a number of retries per window.
func NewRetryBudget(ratio float64, window time.Duration, slack float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, window: window, slack: slack}
}

// Share sets this host's share of the slack of all hosts.
func (b *RetryBudget) Share(slack float64) { b.slack = slack }

// CountRequest counts a request from a caller.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[0]++
}

// TryRetry reports whether the budget allows a retry, and counts the retry if so.
func (b *RetryBudget) TryRetry(now time.Time) bool {
	b.advance(now)
	requests, retries := 0.0, 0.0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if retries+1 > b.ratio*hostRatio*requests+b.slack*hostRatio {
		return false
	}
	b.retries[0]++
	return true
}

// advance starts new buckets of the window as time passes.
func (b *RetryBudget) advance(now time.Time) {
	bucketLength := b.window / budgetBuckets
	passed := int(now.Sub(b.bucketStart) / bucketLength)
	if b.bucketStart.IsZero() || passed >= budgetBuckets {
		b.bucketStart = now
		b.requests, b.retries = [budgetBuckets]float64{}, [budgetBuckets]float64{}
		return
	}
	for range passed {
		copy(b.requests[1:], b.requests[:budgetBuckets-1])
		copy(b.retries[1:], b.retries[:budgetBuckets-1])
		b.requests[0], b.retries[0] = 0, 0
		b.bucketStart = b.bucketStart.Add(bucketLength)
	}
}

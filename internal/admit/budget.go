package admit

import "time"

// ownRatio is the part of the common ratio that each host uses, so that hosts whose requests come at uneven rates stay
// within it together.
const ownRatio = 0.7

// slots of the window in which requests are counted.
const budgetParts = 10

// RetryBudget bounds how many requests this host sends to a service beyond the first of each request.
type RetryBudget struct {
	ratio  float64
	window time.Duration
	slack  float64

	part   time.Time // start of the newest part
	first  [budgetParts]float64
	repeat [budgetParts]float64
}

// NewRetryBudget returns a budget: ratio of the requests in a window, and this host's part of a slack.
func NewRetryBudget(ratio float64, window time.Duration, slack float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, window: window, slack: slack}
}

// Share sets this host's part of the slack that all hosts have together.
func (b *RetryBudget) Share(slack float64) { b.slack = slack }

// CountRequest counts a request of a caller.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.turn(now)
	b.first[0]++
}

// TryRetry counts a request that is to be sent once more, if that is allowed.
func (b *RetryBudget) TryRetry(now time.Time) bool {
	b.turn(now)
	first, repeat := 0.0, 0.0
	for i := range b.first {
		first += b.first[i]
		repeat += b.repeat[i]
	}
	if repeat+1 > b.ratio*ownRatio*first+b.slack*ownRatio {
		return false
	}
	b.repeat[0]++
	return true
}

// turn begins a new part of the window when it is time.
func (b *RetryBudget) turn(now time.Time) {
	length := b.window / budgetParts
	passed := int(now.Sub(b.part) / length)
	if b.part.IsZero() || passed >= budgetParts {
		b.part = now
		b.first, b.repeat = [budgetParts]float64{}, [budgetParts]float64{}
		return
	}
	for range passed {
		copy(b.first[1:], b.first[:budgetParts-1])
		copy(b.repeat[1:], b.repeat[:budgetParts-1])
		b.first[0], b.repeat[0] = 0, 0
		b.part = b.part.Add(length)
	}
}

package entry

import "sync"

// Limits of the retry budget, in tokens; a retry costs one token.
const (
	depositPerRequest = 0.2
	maxTokens         = 100
	initialTokens     = 10
)

// retryBudget is a token bucket that limits retries of requests that have reached an upstream to a share of all
// requests, so that retries can't amplify an overload.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tokens: initialTokens}
}

func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+depositPerRequest, maxTokens)
}

// withdraw takes one token and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

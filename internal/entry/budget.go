package entry

import "sync"

// Bounds of the retry budget.
const (
	earnedByRequest = 0.2 // retries that each request earns
	maxSaved        = 100
	startSaved      = 10
)

// budget limits retries that reach an upstream to a share of the requests, so that they can't
// multiply an overload.
type budget struct {
	mu    sync.Mutex
	saved float64
}

func newBudget() *budget {
	return &budget{saved: startSaved}
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+earnedByRequest, maxSaved)
}

// spend takes one retry from the budget if there is one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

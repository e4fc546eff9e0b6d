package routing

import "sync"

// retryBudget bounds retries to a share of first tries, so that they cannot multiply
// an overload. It starts full.
type retryBudget struct {
	share   float64
	reserve float64

	mu     sync.Mutex
	tokens float64
}

func newRetryBudget(share float64, reserve int) *retryBudget {
	return &retryBudget{share: share, reserve: float64(reserve), tokens: float64(reserve)}
}

// first notes a first try.
func (b *retryBudget) first() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.reserve)
}

// take uses up one retry, if there is one.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

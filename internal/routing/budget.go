package routing

import "sync"

// retryBudget is a token bucket that limits retries to a share of first tries, so that
// retries cannot amplify an overload. It starts full.
type retryBudget struct {
	share   float64
	reserve float64

	mu     sync.Mutex
	tokens float64
}

func newRetryBudget(share float64, reserve int) *retryBudget {
	return &retryBudget{share: share, reserve: float64(reserve), tokens: float64(reserve)}
}

// recordFirstTry adds the fraction of a token that each first try contributes.
func (b *retryBudget) recordFirstTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.reserve)
}

// take uses one retry and reports whether one was available.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

package retry

import (
	"sync"
)

// DefaultBurst is how many tries beyond its share a pool may send again, so
// that a quiet pool can retry at all.
const DefaultBurst = 5

// Budget bounds the tries that a pool sends again to a share of its requests.
// Its methods are safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	burst  float64
	tokens float64
}

// NewBudget returns a full budget that saves up at most burst tokens.
func NewBudget(burst int) *Budget {
	return &Budget{burst: float64(burst), tokens: float64(burst)}
}

// Deposit counts one first try of a service whose contract lets share of its
// requests be sent again (0..1).
func (b *Budget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+share)
}

// Available reports whether there is a token now, without taking it.
func (b *Budget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}

// Withdraw takes the token for one try that is sent again. It reports whether
// there was one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

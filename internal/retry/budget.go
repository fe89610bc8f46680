package retry

import (
	"sync"
)

// DefaultBurst is the number of retries that a pool may send beyond its share,
// so that a pool with few requests can retry at all.
const DefaultBurst = 5

// Budget bounds the retries of a pool to a share of its requests. It is a
// token bucket: each request deposits a part of a token, each retry withdraws
// one. Its methods are safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	burst  float64
	tokens float64
}

// NewBudget returns a full budget that holds at most burst tokens.
func NewBudget(burst int) *Budget {
	return &Budget{burst: float64(burst), tokens: float64(burst)}
}

// Deposit adds share of a token (0..1) for the first try of a request. share
// is the part of its requests that the contract of the service lets be
// retried.
func (b *Budget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+share)
}

// Available reports whether there is a token, without withdrawing it.
func (b *Budget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}

// Withdraw withdraws the token for one retry. It reports whether there was
// one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

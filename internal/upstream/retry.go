package upstream

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// retriesPerAttempt is the number of retries allowed for each first attempt.
	retriesPerAttempt = 0.1
	// maxSavedRetries bounds the retries that can be saved up.
	maxSavedRetries = 20
	// minRetriesPerSecond is the rate of retries allowed under little traffic.
	minRetriesPerSecond = 1
)

// RetryBudget limits retries to a share of the first attempts, so that retries do not multiply an
// overload: when every call fails, the load rises by a tenth instead of by a factor.
type RetryBudget struct {
	mu    sync.Mutex
	saved float64
	floor *rate.Limiter
}

// NewRetryBudget returns a budget without saved retries.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{floor: rate.NewLimiter(minRetriesPerSecond, minRetriesPerSecond)}
}

// RecordAttempt records a first attempt.
func (b *RetryBudget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(maxSavedRetries, b.saved+retriesPerAttempt)
}

// TryTake reports whether a retry is allowed now and, if so, counts it against the budget.
func (b *RetryBudget) TryTake(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved >= 1 {
		b.saved--
		return true
	}
	return b.floor.AllowN(now, 1)
}

package admitter

const (
	// retryRatio is the share of requests that may be retried.
	retryRatio = 0.1
	// maxRetryTokens limits the number of retries that accumulate while none are needed.
	maxRetryTokens = 10
)

// RetryBudget is a token bucket that limits retries to a tenth of the requests.
type RetryBudget struct {
	tokens float64
}

// Deposit adds the share of a retry that each first attempt earns.
func (b *RetryBudget) Deposit() {
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
}

// Withdraw takes one retry and reports whether one was available.
func (b *RetryBudget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

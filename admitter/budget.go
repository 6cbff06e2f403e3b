package admitter

const (
	// retryShare is the share of requests that may be retried.
	retryShare = 0.1
	// retryBurst bounds the retries that a quiet time saves up.
	retryBurst = 10
)

// Budget limits retries to a tenth of the requests.
type Budget struct {
	tokens float64
}

// Earn records a first attempt.
func (b *Budget) Earn() {
	b.tokens = min(b.tokens+retryShare, retryBurst)
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

package follower

import "cherviltide.example/cherviltide"

// Delays between attempts.
const (
	// retryBase and retryMax are the lowest and the highest bound of the random delay before the next control instance is
	// tried.
	retryBase cherviltide.Millis = 50
	retryMax  cherviltide.Millis = 800
)

// backoff computes retry delays with full jitter: each delay is uniformly distributed from 0 to a bound that doubles with
// each failure.
type backoff struct {
	bound cherviltide.Millis
	// random returns a number from 0 to n-1.
	random func(n int64) int64
}

// reset starts again with the lowest bound.
func (b *backoff) reset() { b.bound = 0 }

// next returns the delay after a failure: the delay that the peer requested plus jitter.
func (b *backoff) next(requested cherviltide.Millis) cherviltide.Millis {
	b.bound = min(max(b.bound*2, retryBase), retryMax)
	return requested + cherviltide.Millis(b.random(int64(max(b.bound, requested))+1))
}

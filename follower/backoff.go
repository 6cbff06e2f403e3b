package follower

import "cherviltide.example/cherviltide"

// Waits between attempts.
const (
	// retryBase and retryMax bound the wait before the next attempt at another control instance.
	retryBase cherviltide.Millis = 50
	retryMax  cherviltide.Millis = 800
)

// backoff gives the waits between attempts with full jitter: each wait is drawn evenly from 0 to a bound that doubles.
type backoff struct {
	bound cherviltide.Millis
	// random returns a number from 0 to n-1.
	random func(n int64) int64
}

// reset forgets earlier failures.
func (b *backoff) reset() { b.bound = 0 }

// next returns the wait after a failure. It is at least what the peer asked for; then the jitter comes on top.
func (b *backoff) next(asked cherviltide.Millis) cherviltide.Millis {
	b.bound = min(max(b.bound*2, retryBase), retryMax)
	return asked + cherviltide.Millis(b.random(int64(max(b.bound, asked))+1))
}

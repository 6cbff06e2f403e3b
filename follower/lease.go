package follower

import (
	"sync"
	"time"

	"cherviltide.example/cherviltide"
)

// lease is the process's own lease. It is safe for concurrent use.
type lease struct {
	mu sync.Mutex
	// sent is when the newest accepted announcement was sent; its monotonic part is what counts.
	sent time.Time
	span time.Duration
}

// renew counts a lease from the moment at which its announcement was sent.
func (l *lease) renew(sent time.Time, span cherviltide.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent, l.span = sent, span.Duration()
}

// left returns how long the lease holds at the given moment; it is 0 when the lease does not hold.
func (l *lease) left(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.span-now.Sub(l.sent), 0)
}

// LeaseUntil returns until when the process's own lease holds, by the process's clock; it is 0 when the lease does not
// hold. The lease is counted from the sending of the announcement, by a monotonic clock, so a step of the wall clock does
// not prolong it; callers ask again each time instead of keeping the result.
func (f *Follower) LeaseUntil() cherviltide.Millis {
	return f.lease.until(time.Now())
}

// CurrentViewUntil is like LeaseUntil, but an announcement counts only when the view had reached the position of the leader
// that answered it. A process that decides alone by its view, such as the home of at-most-once keys, stops at this time:
// its announcements may go on while its stream of membership is stale.
func (f *Follower) CurrentViewUntil() cherviltide.Millis {
	return f.current.until(time.Now())
}

// until returns the end of the lease by the process's clock, or 0.
func (l *lease) until(now time.Time) cherviltide.Millis {
	left := l.left(now)
	if left == 0 {
		return 0
	}
	return cherviltide.Millis(now.UnixMilli()) + cherviltide.MillisOf(left)
}

package follower

import (
	"sync"
	"time"

	"cherviltide.example/cherviltide"
)

// lease is a lease that control has granted to this process. It is safe for concurrent use.
type lease struct {
	mu sync.Mutex
	// sentAt is when the newest accepted announcement was sent. Only its monotonic clock reading is used.
	sentAt   time.Time
	duration time.Duration
}

// renew starts a lease at the time at which its announcement was sent.
func (l *lease) renew(sentAt time.Time, duration cherviltide.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentAt, l.duration = sentAt, duration.Duration()
}

// remaining returns the remaining time of the lease; it is 0 when the lease has expired.
func (l *lease) remaining(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.duration-now.Sub(l.sentAt), 0)
}

// LeaseUntil returns when the lease of this process expires, by the clock of the process; it is 0 when the lease has
// expired. The lease starts when the announcement is sent and is measured by the monotonic clock, so a step of the wall
// clock does not prolong it. Callers must not store the result but call LeaseUntil each time.
func (f *Follower) LeaseUntil() cherviltide.Millis {
	return f.lease.until(time.Now())
}

// CurrentViewUntil is like LeaseUntil, but an announcement renews this lease only when the view has reached the log
// position in the leader's response. A process that decides alone by its view, such as the home agent of at-most-once keys,
// must stop deciding at this time: its announcements may still succeed while its membership stream is stale.
func (f *Follower) CurrentViewUntil() cherviltide.Millis {
	return f.currentLease.until(time.Now())
}

// until returns when the lease expires, by the clock of the process, or 0.
func (l *lease) until(now time.Time) cherviltide.Millis {
	remaining := l.remaining(now)
	if remaining == 0 {
		return 0
	}
	return cherviltide.Millis(now.UnixMilli()) + cherviltide.MillisOf(remaining)
}

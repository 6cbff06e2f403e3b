package distributor

import (
	"errors"
	"sync"

	"cherviltide.example/cherviltide"
)

// Limits bound the streams of one instance. A follower beyond them is rejected with a delay for its next attempt.
type Limits struct {
	// MaxStreams is the highest number of concurrent streams.
	MaxStreams int
	// StreamsPerSecond limits new streams, SnapshotsPerSecond those of them that start with a snapshot.
	StreamsPerSecond, SnapshotsPerSecond int
}

// DefaultLimits spread the reconnection of 3,400 entries to one instance over at least 8 s.
var DefaultLimits = Limits{MaxStreams: 10_000, StreamsPerSecond: 400, SnapshotsPerSecond: 400}

// staleRetryDelay is the retry delay of an instance that is stale, is behind the follower or has a new log.
const staleRetryDelay cherviltide.Millis = 150

// Error is the rejection of a follower.
type Error struct {
	cherviltide.Fault
	// RetryDelay is how long the follower has to wait before the next attempt.
	RetryDelay cherviltide.Millis
}

// RetryAfter returns how long the follower has to wait before the next attempt.
func (e *Error) RetryAfter() cherviltide.Millis { return e.RetryDelay }

var errTooManyFollowers = errors.New("this control instance takes no more followers for now")

func newRefusal(op string, err error, retryDelay cherviltide.Millis) error {
	return &Error{Fault: cherviltide.Fault{Op: op, Kind: cherviltide.KindUnavailable, Err: err}, RetryDelay: retryDelay}
}

// admission limits the number of streams and the rate of new ones. It is safe for concurrent use.
type admission struct {
	mu             sync.Mutex
	limits         Limits
	streams        int
	openBucket     tokenBucket
	snapshotBucket tokenBucket
}

func newAdmission(limits Limits) *admission {
	return &admission{limits: limits, openBucket: tokenBucket{rate: limits.StreamsPerSecond}, snapshotBucket: tokenBucket{rate: limits.SnapshotsPerSecond}}
}

// admit admits a stream. The caller calls release when the stream ends.
func (a *admission) admit(now cherviltide.Millis, snapshot bool) (release func(), err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.streams >= a.limits.MaxStreams {
		return nil, newRefusal("distributor.Serve", errTooManyFollowers, 1_000)
	}
	wait := a.openBucket.wait(now)
	if snapshot {
		wait = max(wait, a.snapshotBucket.wait(now))
	}
	if wait > 0 {
		return nil, newRefusal("distributor.Serve", errTooManyFollowers, wait)
	}
	a.openBucket.take()
	if snapshot {
		a.snapshotBucket.take()
	}
	a.streams++
	return a.release, nil
}

func (a *admission) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.streams--
}

// tokenBucket is a rate limiter that holds at most the tokens of one second.
type tokenBucket struct {
	// rate is in tokens a second; a rate of 0 allows nothing.
	rate int
	// spent is the number of missing tokens, in thousandths of a token. It decreases by rate each millisecond.
	spent int64
	last  cherviltide.Millis
	// refused grows with each refusal and shrinks with each token taken. The retry delay grows with it.
	refused int64
}

// wait returns 0 when a token is available, else a retry delay between 1 s and 30 s. The delay grows with the number of
// refusals, so that callers that were refused together retry at the rate of the bucket.
func (b *tokenBucket) wait(now cherviltide.Millis) cherviltide.Millis {
	b.spent = max(b.spent-int64(max(now-b.last, 0))*int64(b.rate), 0)
	b.last = now
	if b.spent+1_000 <= int64(b.rate)*1_000 {
		return 0
	}
	b.refused++
	return cherviltide.Millis(min(1_000+b.refused*1_000/int64(max(b.rate, 1)), 30_000))
}

func (b *tokenBucket) take() {
	b.spent += 1_000
	if b.refused > 0 {
		b.refused--
	}
}

package distributor

import (
	"errors"
	"sync"

	"cherviltide.example/cherviltide"
)

// Limits bound what followers may ask of one instance. Those beyond them are refused with a time to try again.
type Limits struct {
	// Streams is the highest number of streams at a time.
	Streams int
	// Opens and Snapshots are the highest numbers of new streams and of snapshots for new streams a second.
	Opens, Snapshots int
}

// DefaultLimits spread the return of 3,400 entries to one instance over at least 8 s.
var DefaultLimits = Limits{Streams: 10_000, Opens: 400, Snapshots: 400}

// staleRetry is the wait that a stale or late instance asks for.
const staleRetry cherviltide.Millis = 150

// Error is a refusal to serve a follower.
type Error struct {
	cherviltide.Fault
	// Retry is how long the follower is to wait.
	Retry cherviltide.Millis
}

// RetryAfter returns how long the follower is to wait.
func (e *Error) RetryAfter() cherviltide.Millis { return e.Retry }

var errLimit = errors.New("this control instance takes no more followers for now")

func refusal(op string, err error, retry cherviltide.Millis) error {
	return &Error{Fault: cherviltide.Fault{Op: op, Kind: cherviltide.KindUnavailable, Err: err}, Retry: retry}
}

// admission counts streams and limits their rate. It is safe for concurrent use.
type admission struct {
	mu        sync.Mutex
	limits    Limits
	streams   int
	opens     allowance
	snapshots allowance
}

func newAdmission(limits Limits) *admission {
	return &admission{limits: limits, opens: allowance{rate: limits.Opens}, snapshots: allowance{rate: limits.Snapshots}}
}

// enter admits a stream and returns what ends it.
func (a *admission) enter(now cherviltide.Millis, snapshot bool) (leave func(), err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.streams >= a.limits.Streams {
		return nil, refusal("distributor.Serve", errLimit, 1_000)
	}
	wait := a.opens.wait(now)
	if snapshot {
		wait = max(wait, a.snapshots.wait(now))
	}
	if wait > 0 {
		return nil, refusal("distributor.Serve", errLimit, wait)
	}
	a.opens.take()
	if snapshot {
		a.snapshots.take()
	}
	a.streams++
	return a.leave, nil
}

func (a *admission) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.streams--
}

// allowance is a token bucket that holds what one second allows.
type allowance struct {
	// rate is in tokens a second; a rate of 0 allows nothing.
	rate int
	// spent is in thousandths of a token and decreases by rate each millisecond.
	spent int64
	last  cherviltide.Millis
	// refused counts refusals since the last token was taken; each pushes the next retry further back.
	refused int64
}

// wait returns 0 when a token is there, else the time after which to ask again. Those refused together are spread over
// the time that all of them need.
func (a *allowance) wait(now cherviltide.Millis) cherviltide.Millis {
	a.spent = max(a.spent-int64(max(now-a.last, 0))*int64(a.rate), 0)
	a.last = now
	if a.spent+1_000 <= int64(a.rate)*1_000 {
		return 0
	}
	a.refused++
	return cherviltide.Millis(min(1_000+a.refused*1_000/int64(max(a.rate, 1)), 30_000))
}

// take takes a token.
func (a *allowance) take() {
	a.spent += 1_000
	if a.refused > 0 {
		a.refused--
	}
}

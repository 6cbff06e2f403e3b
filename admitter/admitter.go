// Package admitter decides which request runs at the target, which waits and which is refused.
package admitter

import (
	"context"
	"errors"
	"sync"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/runner"
)

// tickInterval is the longest time between two decisions about waiting requests.
const tickInterval = 50 * time.Millisecond

// Error is a refusal to run a request. The request has not run.
type Error struct {
	cherviltide.Fault
	Reason Reason
	// RetryAfter is the time after which a retry may find a slot.
	RetryAfter cherviltide.Millis
}

var reasons = map[Reason]error{
	ReasonQueueFull: errors.New("too many requests wait"),
	ReasonDeadline:  errors.New("the deadline cannot be met"),
	ReasonCancelled: errors.New("the caller gave up or the deadline passed while the request waited"),
}

// Admitter gives out the slots of one target. It is safe for concurrent use.
type Admitter struct {
	clock cherviltide.Clock

	mu      sync.Mutex
	core    *Scheduler
	budget  Budget
	next    uint64
	waiting map[uint64]chan Decision
}

// New returns an admitter with free slots.
func New(config Config, clock cherviltide.Clock) *Admitter {
	return &Admitter{clock: clock, core: NewScheduler(config), waiting: map[uint64]chan Decision{}}
}

// Acquire waits for a slot until ctx ends. The deadline is the instant by which the answer has to be complete. The caller
// calls release once. The error is an *Error, and the request is not to run then.
func (a *Admitter) Acquire(ctx context.Context, kind cherviltide.Kind, deadline cherviltide.Millis) (release func(Completion), err error) {
	id, decided := a.arrive(kind, deadline)
	select {
	case action := <-decided:
		return a.result(action)
	case <-ctx.Done():
	}
	a.mu.Lock()
	waits := a.core.Cancel(id)
	delete(a.waiting, id)
	a.mu.Unlock()
	if !waits {
		// The decision was made at the same time; a slot that nobody uses is given back.
		if release, err := a.result(<-decided); err == nil {
			release(Completion{Failed: true})
		}
	}
	return nil, refusal(Decision{Reason: ReasonCancelled, RetryAfter: minRetryAfter})
}

// Run decides about waiting requests at regular times until ctx ends.
func (a *Admitter) Run(ctx context.Context) error {
	return runner.Every(ctx, tickInterval, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.publish(a.core.Tick(a.clock.Now()))
	})
}

// MayRetry takes one retry out of the budget and reports whether there was one.
func (a *Admitter) MayRetry() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Spend()
}

// Hint takes the load that the target reports, where 1 means that it is full.
func (a *Admitter) Hint(load float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Hint(load)
}

// WouldMissDeadline reports whether a new request of a kind would be refused because it could not be complete in time.
func (a *Admitter) WouldMissDeadline(kind cherviltide.Kind) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.WouldMissDeadline(a.clock.Now(), kind)
}

// Rate returns how many requests a second the target's slots complete; 0 before the first.
func (a *Admitter) Rate() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Rate()
}

func (a *Admitter) arrive(kind cherviltide.Kind, deadline cherviltide.Millis) (uint64, <-chan Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	decided := make(chan Decision, 1)
	a.waiting[a.next] = decided
	a.budget.Earn()
	now := a.clock.Now()
	a.publish(a.core.Submit(now, Request{ID: a.next, Kind: kind, Arrived: now, Deadline: deadline}))
	return a.next, decided
}

// publish hands actions to the requests that wait for them. The caller holds the lock.
func (a *Admitter) publish(actions []Decision) {
	for _, action := range actions {
		if decided, ok := a.waiting[action.ID]; ok {
			delete(a.waiting, action.ID)
			decided <- action
		}
	}
}

func (a *Admitter) result(action Decision) (func(Completion), error) {
	if action.Reason != "" {
		return nil, refusal(action)
	}
	return func(c Completion) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.publish(a.core.Complete(a.clock.Now(), action.ID, c))
	}, nil
}

func refusal(action Decision) error {
	return &Error{
		Fault:      cherviltide.Fault{Op: "admitter.Acquire", Kind: cherviltide.KindUnavailable, Err: reasons[action.Reason]},
		Reason:     action.Reason,
		RetryAfter: action.RetryAfter,
	}
}

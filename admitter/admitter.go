// Package admitter controls the admission of requests to one target: it decides which request runs, which waits and
// which is refused.
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

// Error is returned when a request is refused. The request has not run.
type Error struct {
	cherviltide.Fault
	Reason Reason
	// RetryAfter is the time after which a retry may find a free slot.
	RetryAfter cherviltide.Millis
}

var reasonErrors = map[Reason]error{
	ReasonQueueFull: errors.New("the queue of the request's class is full"),
	ReasonDeadline:  errors.New("the request cannot be completed before its deadline"),
	ReasonCancelled: errors.New("the caller cancelled or the deadline passed while the request was queued"),
}

// Admitter assigns the slots of one target to requests. It is safe for concurrent use.
type Admitter struct {
	clock cherviltide.Clock

	mu          sync.Mutex
	scheduler   *Scheduler
	retryBudget RetryBudget
	lastID      uint64
	pending     map[uint64]chan Decision
}

// New returns an admitter whose slots are all free.
func New(config Config, clock cherviltide.Clock) *Admitter {
	return &Admitter{clock: clock, scheduler: NewScheduler(config), pending: map[uint64]chan Decision{}}
}

// Acquire waits for a slot until ctx ends. The deadline is the time by which the response must be complete. The caller
// must call release exactly once. Any error is an *Error and means that the request must not run.
func (a *Admitter) Acquire(ctx context.Context, kind cherviltide.Kind, deadline cherviltide.Millis) (release func(Completion), err error) {
	id, decided := a.submit(kind, deadline)
	select {
	case decision := <-decided:
		return a.result(decision)
	case <-ctx.Done():
	}
	a.mu.Lock()
	cancelled := a.scheduler.Cancel(id)
	delete(a.pending, id)
	a.mu.Unlock()
	if !cancelled {
		// The scheduler decided at the same moment. A slot that it granted is released unused.
		if release, err := a.result(<-decided); err == nil {
			release(Completion{Failed: true})
		}
	}
	return nil, refusalError(Decision{Reason: ReasonCancelled, RetryAfter: minRetryAfter})
}

// Run re-evaluates the waiting requests every tickInterval until ctx ends.
func (a *Admitter) Run(ctx context.Context) error {
	return runner.Every(ctx, tickInterval, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.deliver(a.scheduler.Tick(a.clock.Now()))
	})
}

// TakeRetry takes one retry from the retry budget and reports whether one was available.
func (a *Admitter) TakeRetry() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retryBudget.Withdraw()
}

// SetReportedLoad records the load that the target reports, where 1 means that it is full.
func (a *Admitter) SetReportedLoad(load float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.SetReportedLoad(load)
}

// WouldMissDeadline reports whether a new request of a kind would be refused because it could not be completed before
// its deadline.
func (a *Admitter) WouldMissDeadline(kind cherviltide.Kind) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduler.WouldMissDeadline(a.clock.Now(), kind)
}

// Rate returns the number of requests per second that the target can complete with all its slots. It is 0 before the
// first completion.
func (a *Admitter) Rate() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduler.Rate()
}

func (a *Admitter) submit(kind cherviltide.Kind, deadline cherviltide.Millis) (uint64, <-chan Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	decided := make(chan Decision, 1)
	a.pending[a.lastID] = decided
	a.retryBudget.Deposit()
	now := a.clock.Now()
	a.deliver(a.scheduler.Submit(now, Request{ID: a.lastID, Kind: kind, Arrived: now, Deadline: deadline}))
	return a.lastID, decided
}

// deliver sends decisions to the requests that wait for them. The caller holds the lock.
func (a *Admitter) deliver(decisions []Decision) {
	for _, decision := range decisions {
		if decided, ok := a.pending[decision.ID]; ok {
			delete(a.pending, decision.ID)
			decided <- decision
		}
	}
}

// result converts a decision to the results of Acquire.
func (a *Admitter) result(decision Decision) (func(Completion), error) {
	if decision.Reason != "" {
		return nil, refusalError(decision)
	}
	return func(c Completion) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.deliver(a.scheduler.Complete(a.clock.Now(), decision.ID, c))
	}, nil
}

func refusalError(decision Decision) error {
	return &Error{
		Fault:      cherviltide.Fault{Op: "admitter.Acquire", Kind: cherviltide.KindUnavailable, Err: reasonErrors[decision.Reason]},
		Reason:     decision.Reason,
		RetryAfter: decision.RetryAfter,
	}
}

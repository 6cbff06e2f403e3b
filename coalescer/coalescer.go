// Package coalescer runs equal requests as one job, which goes on when its callers have given up. A caller that sends its
// request again joins the job instead of starting from the beginning.
package coalescer

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/runner"
)

// Error means that a job was not started, or that a caller stopped waiting for its job.
type Error struct{ cherviltide.Fault }

var (
	// ErrTooManyJobs means that the jobs in progress have reached a bound.
	ErrTooManyJobs = errors.New("too many jobs are in progress")
	// ErrAbandoned means that the caller's context ended before the job. The job may still succeed.
	ErrAbandoned = errors.New("the caller stopped waiting; the job goes on")
	errClosed    = errors.New("no jobs are started any more")
	errPanic     = errors.New("the job panicked")
)

// Config has the bounds of the jobs in progress.
type Config struct {
	// MaxJobs is their highest number, and MaxBytes their highest total size. A single job may exceed MaxBytes.
	MaxJobs, MaxBytes int
	// Timeout bounds each job.
	Timeout time.Duration
}

// Counts has the numbers of requests since the start.
type Counts struct {
	// Started are requests that started a job, Joined those that found one in progress, Abandoned those whose callers
	// stopped waiting, and Refused those that exceeded a bound.
	Started, Joined, Abandoned, Refused uint64
}

// Coalescer runs jobs, at most one for each key. It is safe for concurrent use.
type Coalescer[Key comparable, Result any] struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	exits  chan runner.Exit

	mu sync.Mutex
	// jobs are the jobs in progress, bytes is their total size, and running the number of goroutines whose exit has not
	// been read.
	jobs    map[Key]*job[Result]
	bytes   int
	running int
	closed  bool
	counts  Counts
}

// job is a request in progress. result and err are set before done is closed.
type job[Result any] struct {
	done   chan struct{}
	result Result
	err    error
}

// New returns a coalescer without jobs.
func New[Key comparable, Result any](config Config) *Coalescer[Key, Result] {
	ctx, cancel := context.WithCancel(context.Background())
	return &Coalescer[Key, Result]{
		config: config, ctx: ctx, cancel: cancel,
		exits: make(chan runner.Exit, config.MaxJobs),
		jobs:  map[Key]*job[Result]{},
	}
}

// Do returns the result of the job with the given key. It starts the job, which then calls f, if none is in progress, also
// when ctx has already ended. The context of f ends with the job's timeout or with Close, not with ctx. Do returns
// ErrAbandoned when ctx ends before the job, and ErrTooManyJobs when it may not start the job.
func (c *Coalescer[Key, Result]) Do(ctx context.Context, key Key, size int, f func(context.Context) (Result, error)) (Result, error) {
	j, err := c.join(key, size, f)
	if err != nil {
		var none Result
		return none, err
	}
	select {
	case <-j.done:
		return j.result, j.err
	default:
	}
	select {
	case <-j.done:
		return j.result, j.err
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		c.counts.Abandoned++
		var none Result
		return none, fault(ErrAbandoned)
	}
}

// join returns the job with a key, which it starts if there is none.
func (c *Coalescer[Key, Result]) join(key Key, size int, f func(context.Context) (Result, error)) (*job[Result], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[key]; j != nil {
		c.counts.Joined++
		return j, nil
	}
	if c.closed {
		// Close reads the exits of the remaining goroutines.
		return nil, fault(errClosed)
	}
	c.readExits()
	if c.running >= c.config.MaxJobs || (len(c.jobs) > 0 && c.bytes+size > c.config.MaxBytes) {
		c.counts.Refused++
		return nil, fault(fmt.Errorf("%w: %d jobs of %d bytes", ErrTooManyJobs, len(c.jobs), c.bytes))
	}
	j := &job[Result]{done: make(chan struct{})}
	c.jobs[key] = j
	c.bytes += size
	c.running++
	c.counts.Started++
	runner.Start(c.ctx, "job", c.exits, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
		defer cancel()
		// Requests that come after the result is known start a new job.
		defer c.end(key, j, size)
		j.result, j.err = callRecovered(ctx, f)
		return nil
	})
	return j, nil
}

// callRecovered calls f and returns a panic as an error, as a server does with that of a handler: one request must not end
// the process.
func callRecovered[Result any](ctx context.Context, f func(context.Context) (Result, error)) (result Result, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &Error{cherviltide.Fault{Op: "coalescer.Do", Kind: cherviltide.KindInternal, Err: fmt.Errorf("%w: %v\n%s", errPanic, p, debug.Stack())}}
		}
	}()
	return f(ctx)
}

// readExits counts the goroutines that have ended. The caller holds the lock.
func (c *Coalescer[Key, Result]) readExits() {
	for {
		select {
		case <-c.exits:
			c.running--
		default:
			return
		}
	}
}

func (c *Coalescer[Key, Result]) end(key Key, j *job[Result], size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.jobs, key)
	c.bytes -= size
	close(j.done)
}

// Counts returns the numbers of requests since the start.
func (c *Coalescer[Key, Result]) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Close cancels the jobs, starts no further ones, and waits for the end of those in progress.
func (c *Coalescer[Key, Result]) Close() {
	c.mu.Lock()
	c.closed = true
	running := c.running
	c.running = 0
	c.mu.Unlock()
	c.cancel()
	for range running {
		<-c.exits
	}
}

func fault(err error) error {
	return &Error{cherviltide.Fault{Op: "coalescer.Do", Kind: cherviltide.KindUnavailable, Err: err}}
}

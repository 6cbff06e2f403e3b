// Package hedger calls one of several equivalent instances with overlapping attempts, so that instances that do not answer
// delay the call little, however many of them there are.
package hedger

import (
	"context"
	"errors"
	"sync"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/runner"
)

// Error means that there was no instance to call.
type Error struct{ cherviltide.Fault }

var errNoTarget = errors.New("no instance to call is known")

// Attempt calls one target. It calls win once the target has accepted the call; all other attempts are then cancelled. If win
// returns false, another attempt has won, and this one must have no effect.
type Attempt func(ctx context.Context, target string, win func() bool) error

// Hedger starts an attempt at the next target while earlier ones are undecided.
type Hedger struct {
	// delay is the time from the start of an attempt until the next one starts beside it.
	delay time.Duration
	// maxInFlight is the highest number of undecided attempts.
	maxInFlight int
}

// New returns a hedger.
func New(delay time.Duration, maxInFlight int) Hedger {
	return Hedger{delay: delay, maxInFlight: maxInFlight}
}

// Call makes attempts at the targets in their order until one wins, and returns when all attempts have ended. It returns the
// target that has won with the result of its attempt, or the last error when none has won.
func (h Hedger) Call(ctx context.Context, targets []string, attempt Attempt) (winner string, err error) {
	if len(targets) == 0 {
		return "", &Error{cherviltide.Fault{Op: "hedger.Call", Kind: cherviltide.KindUnavailable, Err: errNoTarget}}
	}
	c := &call{ctx: ctx, targets: targets, attempt: attempt, exits: make(chan runner.Exit, len(targets)), won: make(chan struct{})}
	defer c.cancelAll()
	timer := time.NewTimer(h.delay)
	defer timer.Stop()
	won := c.won
	c.startNext()
	for c.running > 0 {
		select {
		case <-won:
			// The winner may run for long; the timer would wake this goroutine for nothing.
			won = nil
			timer.Stop()
			continue
		case e := <-c.exits:
			c.running--
			if target, ok := c.winner(); !ok {
				err = e.Err
				c.startNext()
			} else if target == e.Name {
				winner, err = target, e.Err
			}
		case <-timer.C:
			if c.running < h.maxInFlight {
				c.startNext()
			}
		}
		if won != nil {
			timer.Reset(h.delay)
		}
	}
	return winner, err
}

// call is one run of Call. Only the goroutine of Call uses started and running.
type call struct {
	ctx     context.Context
	targets []string
	attempt Attempt
	exits   chan runner.Exit
	// started and running are numbers of attempts.
	started, running int
	// won is closed when an attempt wins.
	won chan struct{}

	mu sync.Mutex
	// cancels has the cancel functions of the started attempts.
	cancels []context.CancelFunc
	// winning is the number of the attempt that has won, from 1; 0 while there is none.
	winning int
}

// startNext starts the next attempt, unless one has won or there is no other target.
func (c *call) startNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.winning > 0 || c.started == len(c.targets) || c.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.cancels = append(c.cancels, cancel)
	target := c.targets[c.started]
	c.started++
	c.running++
	number := c.started
	runner.Start(ctx, target, c.exits, func(ctx context.Context) error {
		return c.attempt(ctx, target, func() bool { return c.win(number) })
	})
}

// win reports whether an attempt is the first one that has won, and then cancels the others.
func (c *call) win(number int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.winning > 0 {
		return c.winning == number
	}
	c.winning = number
	close(c.won)
	for i, cancel := range c.cancels {
		if i+1 != number {
			cancel()
		}
	}
	return true
}

// winner returns the target of the attempt that has won.
func (c *call) winner() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.winning == 0 {
		return "", false
	}
	return c.targets[c.winning-1], true
}

func (c *call) cancelAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.cancels {
		cancel()
	}
}

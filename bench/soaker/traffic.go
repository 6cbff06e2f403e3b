package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"cherviltide.example/cherviltide/bench/relaypath"
	"cherviltide.example/cherviltide/runner"
)

const (
	// responseTimeout is how long a caller waits for a response on an open flow.
	responseTimeout = 8 * time.Second
	// maxRequestsPerFlow and maxRequestPause bound the number of requests on one flow and the pauses between them.
	maxRequestsPerFlow = 40
	maxRequestPause    = 600 * time.Millisecond
	// flowPause is the pause of a caller between two flows.
	flowPause = 50 * time.Millisecond
)

// runCaller opens one flow after the other until ctx ends. About half of them carry only the first request.
func (r *soakRun) runCaller(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		virtual := virtualAddresses[random.IntN(len(virtualAddresses))]
		if f, target := r.openFlow(ctx, virtual); f != nil {
			r.useFlow(ctx, f, target, random.IntN(maxRequestsPerFlow)*random.IntN(2), random)
		}
		_ = runner.Sleep(ctx, flowPause)
	}
}

// openFlow opens a flow and returns it with the target that responds to its first request, or nil.
func (r *soakRun) openFlow(ctx context.Context, virtual virtualAddress) (*relaypath.Flow, string) {
	started := time.Now()
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	f, err := r.callers.Open(openCtx, virtual.address)
	if err != nil {
		r.checkMixed(err)
		r.record.updateCounts(func(c *Counts) { c.Unopened++ })
		return nil, ""
	}
	requestCtx, cancelRequest := context.WithTimeout(ctx, responseTimeout)
	defer cancelRequest()
	target, err := f.Request(requestCtx, "first")
	if err != nil {
		// It is unknown whether the target held the flow, so its end is no violation.
		r.checkMixed(err)
		r.record.updateCounts(func(c *Counts) { c.UnknownEnds++ })
		return nil, ""
	}
	r.record.updateCounts(func(c *Counts) { c.Flows++ })
	r.operator.checkService(virtual, started, target)
	return f, target
}

// checkMixed records a violation if an error says that a response was corrupted or belongs to another request.
func (r *soakRun) checkMixed(err error) {
	if errors.Is(err, relaypath.ErrCorrupted) || errors.Is(err, relaypath.ErrWrongResponse) {
		r.record.addViolation("mixed", err.Error())
	}
}

// useFlow sends requests over an open flow, checks that the same target responds to all of them, and closes the flow.
func (r *soakRun) useFlow(ctx context.Context, f *relaypath.Flow, target string, requests int, random *rand.Rand) {
	for i := range requests {
		if !runner.Sleep(ctx, time.Duration(random.Int64N(int64(maxRequestPause)))) {
			return
		}
		sentAt := time.Now()
		requestCtx, cancel := context.WithTimeout(ctx, responseTimeout)
		name, err := f.Request(requestCtx, fmt.Sprint("question ", i))
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			r.recordBrokenFlow(f, target, sentAt, err)
			return
		case name != target:
			r.record.addViolation("flow", fmt.Sprintf("flow %d of %s was answered by %s", f.Port(), target, name))
			return
		}
		r.record.updateCounts(func(c *Counts) { c.Answers++ })
	}
	closeCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	// A flow that does not close in time is removed by both sides later.
	_ = f.Close(closeCtx)
}

// recordBrokenFlow records the end of an open flow. It is a violation unless the target has ended or an unplanned fault
// was active.
func (r *soakRun) recordBrokenFlow(f *relaypath.Flow, target string, sentAt time.Time, err error) {
	r.checkMixed(err)
	if !r.backends.isRunning(target) || !r.record.isFaultFree(sentAt, time.Now(), isUnplanned) {
		r.record.updateCounts(func(c *Counts) {
			if errors.Is(err, relaypath.ErrReset) {
				c.Reset++
			} else {
				c.Silent++
			}
		})
		return
	}
	r.record.addViolation("flow", fmt.Sprintf("flow %d of %s ended %v after a request: %v", f.Port(), target, time.Since(sentAt).Round(time.Millisecond), err))
}

// probe reports whether a new flow is served within three attempts.
func (r *soakRun) probe(ctx context.Context, i int) bool {
	for range 3 {
		ctx, cancel := context.WithTimeout(ctx, 2*openTimeout)
		f, err := r.callers.Open(ctx, virtualAddresses[i%len(virtualAddresses)].address)
		if err == nil {
			_, err = f.Request(ctx, "at the end")
		}
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

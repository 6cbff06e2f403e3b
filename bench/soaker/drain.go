package soaker

import (
	"context"
	"fmt"
	"time"

	"cherviltide.example/cherviltide/bench/relaypath"
	"cherviltide.example/cherviltide/runner"
)

const (
	drainPeriod = relaypath.DrainMs * time.Millisecond
	// maxLeaveAttempts and leaveRetryInterval bound how long a target announces to its agent that it leaves. After some
	// seconds without an acknowledgement it ends.
	maxLeaveAttempts   = 10
	leaveRetryInterval = 500 * time.Millisecond
)

func (r *soakRun) drain(ctx context.Context, d *daemon, duration time.Duration) error {
	return r.drainWith(ctx, d, duration, func() error { return nil })
}

// drainAndRestart drains a target and restarts its agent meanwhile.
func (r *soakRun) drainAndRestart(ctx context.Context, d *daemon, duration time.Duration) error {
	return r.drainWith(ctx, d, duration, func() error { return r.restart(ctx, d, 0) })
}

// drainWith drains a target, calls a function during the drain, and then replaces the target by a new one. A target that
// gets a new flow after the drain period is recorded as a violation.
func (r *soakRun) drainWith(ctx context.Context, d *daemon, duration time.Duration, duringDrain func() error) error {
	target := r.backends.target(d.Machine)
	acknowledged := false
	for range maxLeaveAttempts {
		if acknowledged = target.Drain(ctx) == nil; acknowledged {
			break
		}
		_ = runner.Sleep(ctx, leaveRetryInterval)
	}
	drainedAt := time.Now()
	if !acknowledged && r.record.isFaultFree(drainedAt, drainedAt, isUnplanned) {
		r.record.addViolation("drain", target.Name+" received no acknowledgement that it leaves")
	}
	if err := duringDrain(); err != nil {
		return err
	}
	_ = runner.Sleep(ctx, time.Until(drainedAt.Add(drainPeriod+duration)))
	lastOpened := target.LastOpened()
	if acknowledged && lastOpened.After(drainedAt.Add(drainPeriod)) && r.record.isFaultFree(drainedAt, time.Now(), isUnplanned) {
		r.record.addViolation("drain", fmt.Sprintf("%s received a new flow %v after its leave was acknowledged", target.Name, lastOpened.Sub(drainedAt).Round(time.Millisecond)))
	}
	r.record.updateCounts(func(c *Counts) { c.Drains++ })
	r.backends.remove(d.Machine)
	// A target that cannot deregister ends all the same.
	_ = target.Deregister(ctx)
	r.backends.checkCorruption(target)
	return r.backends.startTarget(d)
}

// crashTarget ends a target without notice to its agent, and replaces it by a new one.
func (r *soakRun) crashTarget(ctx context.Context, d *daemon, duration time.Duration) error {
	target := r.backends.target(d.Machine)
	r.backends.remove(d.Machine)
	target.Stop()
	r.backends.checkCorruption(target)
	_ = runner.Sleep(ctx, duration)
	return r.backends.startTarget(d)
}

// hangTarget makes a target hang for a duration.
func (r *soakRun) hangTarget(ctx context.Context, d *daemon, duration time.Duration) error {
	target := r.backends.target(d.Machine)
	target.SetHung(true)
	_ = runner.Sleep(ctx, duration)
	target.SetHung(false)
	return nil
}

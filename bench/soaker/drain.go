package soaker

import (
	"context"
	"fmt"
	"time"

	"cherviltide.example/cherviltide/bench/relaypath"
	"cherviltide.example/cherviltide/runner"
)

const (
	drainSpan = relaypath.DrainMs * time.Millisecond
	// leaveTries and leavePause bound how long a target tells its agent that it leaves; it ends without an answer after
	// some seconds.
	leaveTries = 10
	leavePause = 500 * time.Millisecond
)

func (w *world) drain(ctx context.Context, d *daemon, span time.Duration) error {
	return w.drainWith(ctx, d, span, func() error { return nil })
}

// drainAndRestart restarts the agent of a target that leaves.
func (w *world) drainAndRestart(ctx context.Context, d *daemon, span time.Duration) error {
	return w.drainWith(ctx, d, span, func() error { return w.restart(ctx, d, 0) })
}

// drainWith makes a target leave, does something meanwhile and starts another target in its place.
func (w *world) drainWith(ctx context.Context, d *daemon, span time.Duration, meanwhile func() error) error {
	t := w.backends.at(d.Machine)
	acknowledged := false
	for range leaveTries {
		if acknowledged = t.Drain(ctx) == nil; acknowledged {
			break
		}
		_ = runner.Sleep(ctx, leavePause)
	}
	at := time.Now()
	if !acknowledged && w.record.calm(at, at, unplanned) {
		w.record.violate("drain", t.Name+" got no acknowledgement that it leaves")
	}
	if err := meanwhile(); err != nil {
		return err
	}
	_ = runner.Sleep(ctx, time.Until(at.Add(drainSpan+span)))
	last := t.LastOpened()
	if acknowledged && last.After(at.Add(drainSpan)) && w.record.calm(at, time.Now(), unplanned) {
		w.record.violate("drain", fmt.Sprintf("%s got a new flow %v after its leave was acknowledged", t.Name, last.Sub(at).Round(time.Millisecond)))
	}
	w.record.count(func(c *Counts) { c.Drains++ })
	w.backends.remove(d.Machine)
	// A target whose last word gets no answer ends all the same.
	_ = t.Deregister(ctx)
	w.backends.inspect(t)
	return w.backends.begin(d)
}

// crashTarget ends a target without a word and starts another one in its place.
func (w *world) crashTarget(ctx context.Context, d *daemon, span time.Duration) error {
	t := w.backends.at(d.Machine)
	w.backends.remove(d.Machine)
	t.Stop()
	w.backends.inspect(t)
	_ = runner.Sleep(ctx, span)
	return w.backends.begin(d)
}

// muteTarget makes a target hang for a while.
func (w *world) muteTarget(ctx context.Context, d *daemon, span time.Duration) error {
	t := w.backends.at(d.Machine)
	t.SetHung(true)
	_ = runner.Sleep(ctx, span)
	t.SetHung(false)
	return nil
}

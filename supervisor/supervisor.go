// Package supervisor runs the parts of a daemon and stops them in order.
package supervisor

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/runner"
)

// drainInterval is the time between two looks at a stopping process.
const drainInterval = 100 * time.Millisecond

// Daemon is what a process does beside following control.
type Daemon struct {
	// Serve takes work until its context ends, then finishes what it has.
	Serve func(context.Context) error
	// Dependencies has what Serve needs until it has finished.
	Dependencies []func(context.Context) error
	// Activity counts datagrams of others that still rely on the process; nil counts none.
	Activity func() uint64
	// StopTiming tells how long a stopping process goes on; the zero value means DefaultStopTiming.
	StopTiming StopTiming
	// MemberContinues is true when the member goes on and only its process ends for a while. It is then paused instead of ended.
	MemberContinues bool
}

// Run runs the work and the follower. When ctx ends it announces that the process leaves, goes on until others have
// heard of it, lets the work finish, and only then stops the follower and what supports the work. The end of any part
// stops the others.
func (w Daemon) Run(ctx context.Context, f *follower.Follower, log *zap.Logger) error {
	if w.StopTiming == (StopTiming{}) {
		w.StopTiming = DefaultStopTiming
	}
	supportCtx, stopSupport := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSupport()
	serveCtx, stopServing := context.WithCancel(supportCtx)
	defer stopServing()
	parts := append([]func(context.Context) error{f.Run}, w.Dependencies...)
	support, served := make(chan runner.Exit, len(parts)), make(chan runner.Exit, 2)
	for _, part := range parts {
		runner.Start(supportCtx, "support", support, part)
	}
	runner.Start(serveCtx, "serve", served, w.Serve)
	runner.Start(serveCtx, "leave", served, func(serveCtx context.Context) error {
		defer stopServing()
		return w.leave(ctx, serveCtx, f, log)
	})
	var err error
	for open := cap(served); open > 0; {
		select {
		case end := <-served:
			err = errors.Join(err, end.Err)
			open--
		case end := <-support:
			err = errors.Join(err, end.Err)
			parts = parts[1:]
		}
		stopServing()
	}
	w.end(supportCtx, f, log)
	stopSupport()
	for range parts {
		err = errors.Join(err, (<-support).Err)
	}
	return err
}

// leave waits for the end of ctx, announces it, and returns when the process may stop serving.
func (w Daemon) leave(ctx, serveCtx context.Context, f *follower.Follower, log *zap.Logger) error {
	select {
	case <-ctx.Done():
	case <-f.Drained():
	case <-serveCtx.Done():
		return nil
	}
	log.Info("Leaving")
	if w.MemberContinues {
		f.Pause()
	} else {
		f.Leave()
	}
	activity := w.Activity
	if activity == nil {
		activity = func() uint64 { return 0 }
	}
	started := time.Now()
	elapsed := func() cherviltide.Millis { return cherviltide.MillisOf(time.Since(started)) }
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for d := newDrain(elapsed(), activity(), w.StopTiming); !d.done(elapsed(), activity()); {
		select {
		case <-serveCtx.Done():
			return nil
		case <-ticker.C:
		}
	}
	return nil
}

// end announces that the process has finished.
func (w Daemon) end(ctx context.Context, f *follower.Follower, log *zap.Logger) {
	if w.MemberContinues {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.StopTiming.LastAnnouncementTimeout.Duration())
	defer cancel()
	if err := f.End(ctx); err != nil {
		log.Info("EndNotAnnounced", zap.Error(err))
	}
}

// Package supervisor runs a daemon together with its follower and shuts both down in order.
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

// drainCheckInterval is the time between two checks whether a stopping process may stop serving.
const drainCheckInterval = 100 * time.Millisecond

// Daemon describes the work of a process apart from following control.
type Daemon struct {
	// Serve accepts work until its context ends, finishes the work that it has, and returns.
	Serve func(context.Context) error
	// Dependencies has the functions that must run until Serve has returned.
	Dependencies []func(context.Context) error
	// Activity returns the number of datagrams received from processes that still send to this one; nil counts none.
	Activity func() uint64
	// StopTiming has the times of a planned stop; the zero value means DefaultStopTiming.
	StopTiming StopTiming
	// MemberContinues is true when the process restarts soon and its member continues meanwhile. The member is then announced
	// as paused instead of leaving and ended.
	MemberContinues bool
}

// Run runs the daemon and the follower. When ctx ends or control requests a drain, it announces that the process leaves,
// keeps serving until the other processes no longer send to it, lets Serve finish, and only then stops the follower and the
// dependencies. When any of the functions returns, the others are stopped in the same order.
func (d Daemon) Run(ctx context.Context, f *follower.Follower, log *zap.Logger) error {
	if d.StopTiming == (StopTiming{}) {
		d.StopTiming = DefaultStopTiming
	}
	dependencyCtx, stopDependencies := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDependencies()
	serveCtx, stopServing := context.WithCancel(dependencyCtx)
	defer stopServing()
	dependencies := append([]func(context.Context) error{f.Run}, d.Dependencies...)
	dependencyExits, serveExits := make(chan runner.Exit, len(dependencies)), make(chan runner.Exit, 2)
	for _, dependency := range dependencies {
		runner.Start(dependencyCtx, "dependency", dependencyExits, dependency)
	}
	runner.Start(serveCtx, "serve", serveExits, d.Serve)
	runner.Start(serveCtx, "leave", serveExits, func(serveCtx context.Context) error {
		defer stopServing()
		return d.awaitStop(ctx, serveCtx, f, log)
	})
	var err error
	for running := cap(serveExits); running > 0; {
		select {
		case end := <-serveExits:
			err = errors.Join(err, end.Err)
			running--
		case end := <-dependencyExits:
			err = errors.Join(err, end.Err)
			dependencies = dependencies[1:]
		}
		stopServing()
	}
	d.announceEnd(dependencyCtx, f, log)
	stopDependencies()
	for range dependencies {
		err = errors.Join(err, (<-dependencyExits).Err)
	}
	return err
}

// awaitStop waits for the end of ctx or a drain request, announces that the process leaves or pauses, and returns when it
// may stop serving.
func (d Daemon) awaitStop(ctx, serveCtx context.Context, f *follower.Follower, log *zap.Logger) error {
	select {
	case <-ctx.Done():
	case <-f.DrainRequested():
	case <-serveCtx.Done():
		return nil
	}
	log.Info("Leaving")
	if d.MemberContinues {
		f.Pause()
	} else {
		f.Leave()
	}
	activity := d.Activity
	if activity == nil {
		activity = func() uint64 { return 0 }
	}
	started := time.Now()
	elapsed := func() cherviltide.Millis { return cherviltide.MillisOf(time.Since(started)) }
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for state := newDrain(elapsed(), activity(), d.StopTiming); !state.done(elapsed(), activity()); {
		select {
		case <-serveCtx.Done():
			return nil
		case <-ticker.C:
		}
	}
	return nil
}

// announceEnd announces that the process has finished, unless its member continues.
func (d Daemon) announceEnd(ctx context.Context, f *follower.Follower, log *zap.Logger) {
	if d.MemberContinues {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, d.StopTiming.LastAnnouncementTimeout.Duration())
	defer cancel()
	if err := f.AnnounceEnd(ctx); err != nil {
		log.Info("EndNotAnnounced", zap.Error(err))
	}
}

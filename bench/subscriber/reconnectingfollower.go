package subscriber

import (
	"context"
	"time"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/runner"
)

// ReconnectingFollower is a follower that can disconnect, and reconnect with the state that it had.
type ReconnectingFollower struct {
	follower *follower.Follower
	counter  *trafficCounter
	cancel   context.CancelFunc
	exits    chan runner.Exit
}

// NewReconnectingFollower starts a follower.
func NewReconnectingFollower(ctx context.Context, control string) (*ReconnectingFollower, error) {
	r := &ReconnectingFollower{counter: &trafficCounter{}, exits: make(chan runner.Exit, 1)}
	r.follower = newFollower(0, control, r.counter)
	r.start(ctx)
	return r, ctx.Err()
}

func (r *ReconnectingFollower) start(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	runner.Start(ctx, "follower", r.exits, r.follower.Run)
}

// WaitFor waits until the follower has at least the given revision of the rules and position in the membership log.
func (r *ReconnectingFollower) WaitFor(ctx context.Context, revision, position uint64) error {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		if v := r.follower.View(); v.Rules.Revision >= revision && v.Position >= position {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-ticker.C:
		}
	}
}

// Stop stops the follower, which keeps its view.
func (r *ReconnectingFollower) Stop() {
	r.cancel()
	<-r.exits
}

// Reconnect starts the follower again, waits until it is up to date, and returns the number of bytes that it sent and
// received.
func (r *ReconnectingFollower) Reconnect(ctx context.Context, revision, position uint64) (uint64, error) {
	before := r.counter.bytes.Load()
	r.start(ctx)
	defer r.Stop()
	err := r.WaitFor(ctx, revision, position)
	return r.counter.bytes.Load() - before, err
}

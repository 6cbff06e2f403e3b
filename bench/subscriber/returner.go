package subscriber

import (
	"context"
	"time"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/runner"
)

// Returner is a follower that goes away and returns with what it held.
type Returner struct {
	follower *follower.Follower
	counted  *counter
	cancel   context.CancelFunc
	ends     chan runner.Exit
}

// NewReturner starts a follower.
func NewReturner(ctx context.Context, control string) (*Returner, error) {
	r := &Returner{counted: &counter{}, ends: make(chan runner.Exit, 1)}
	r.follower = newFollower(0, control, r.counted)
	r.start(ctx)
	return r, ctx.Err()
}

func (r *Returner) start(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	runner.Start(ctx, "follower", r.ends, r.follower.Run)
}

// Until waits until the follower has a revision and a membership position.
func (r *Returner) Until(ctx context.Context, revision, position uint64) error {
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

// Stop disconnects the follower, which keeps its view.
func (r *Returner) Stop() {
	r.cancel()
	<-r.ends
}

// Return connects the follower again, waits until it is up to date and returns the bytes that it sent and received.
func (r *Returner) Return(ctx context.Context, revision, position uint64) (uint64, error) {
	before := r.counted.bytes.Load()
	r.start(ctx)
	defer r.Stop()
	err := r.Until(ctx, revision, position)
	return r.counted.bytes.Load() - before, err
}

// Package admitter decides which request runs at the target, which waits and which is refused.
package admitter

import (
	"context"
	"errors"

	"cherviltide.example/cherviltide"
)

// Error is a refusal to run a request.
type Error struct{ cherviltide.Fault }

var errNoSlot = errors.New("no slot became free before the deadline")

// Admitter gives out the slots of one target.
type Admitter struct {
	slots chan struct{}
}

// New returns an admitter with the given number of slots.
func New(slots int) *Admitter {
	return &Admitter{slots: make(chan struct{}, slots)}
}

// Acquire waits for a slot until ctx ends.
func (a *Admitter) Acquire(ctx context.Context, _ cherviltide.Kind) (func(), error) {
	select {
	case a.slots <- struct{}{}:
		return func() { <-a.slots }, nil
	case <-ctx.Done():
		return nil, &Error{cherviltide.Fault{Op: "admitter.Acquire", Kind: cherviltide.KindUnavailable, Err: errNoSlot}}
	}
}

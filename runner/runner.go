// Package runner starts goroutines that report their exit to their owner, and has helpers for waiting under a context.
package runner

import (
	"context"
	"time"
)

// Exit is the result of a goroutine.
type Exit struct {
	Name string
	// Err is nil when the goroutine ended without an error.
	Err error
}

// Start runs f in a goroutine and sends its exit to exits, which must have a free buffer slot or a receiver by then.
func Start(ctx context.Context, name string, exits chan<- Exit, f func(context.Context) error) {
	go func() {
		exits <- Exit{Name: name, Err: f(ctx)}
	}()
}

// Group runs several goroutines that are stopped together.
type Group struct {
	ctx     context.Context
	cancel  context.CancelFunc
	exits   chan Exit
	started int
}

// NewGroup returns a group whose context ends with ctx. At most limit goroutines may be started.
func NewGroup(ctx context.Context, limit int) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, exits: make(chan Exit, limit)}
}

// Go starts a goroutine of the group. Only the goroutine that created the group may call it.
func (g *Group) Go(name string, f func(context.Context) error) {
	g.started++
	Start(g.ctx, name, g.exits, f)
}

// Wait returns the first error after all goroutines have ended. When one of them ends, the context of the others is
// cancelled.
func (g *Group) Wait() error {
	defer g.cancel()
	var first error
	for range g.started {
		exit := <-g.exits
		g.cancel()
		if first == nil && exit.Err != nil {
			first = exit.Err
		}
	}
	return first
}

// Sleep waits for the given duration. It returns false when ctx ended before.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls f once per interval until ctx ends, and returns nil.
func Every(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f()
		}
	}
}

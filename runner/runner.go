// Package runner starts goroutines that report their end to their owner.
package runner

import (
	"context"
	"time"
)

// Exit reports that a goroutine has ended.
type Exit struct {
	Name string
	// Err is nil when the goroutine ended as planned.
	Err error
}

// Start runs f in a goroutine and sends its end to ends, which must have room or a reader.
func Start(ctx context.Context, name string, ends chan<- Exit, f func(context.Context) error) {
	go func() {
		ends <- Exit{Name: name, Err: f(ctx)}
	}()
}

// Group owns several goroutines that stop together.
type Group struct {
	ctx     context.Context
	cancel  context.CancelFunc
	ends    chan Exit
	started int
}

// NewGroup returns a group whose goroutines end when ctx ends. It starts at most limit goroutines.
func NewGroup(ctx context.Context, limit int) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, ends: make(chan Exit, limit)}
}

// Go starts a goroutine of the group. Only the owner calls it.
func (g *Group) Go(name string, f func(context.Context) error) {
	g.started++
	Start(g.ctx, name, g.ends, f)
}

// Wait returns after all goroutines have ended, with the first error. The first end stops the others.
func (g *Group) Wait() error {
	defer g.cancel()
	var first error
	for range g.started {
		end := <-g.ends
		g.cancel()
		if first == nil && end.Err != nil {
			first = end.Err
		}
	}
	return first
}

// Sleep waits for a span and returns false when ctx ended before.
func Sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls f at regular times until ctx ends, and returns nil.
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

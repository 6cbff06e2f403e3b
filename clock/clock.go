// Package clock provides the system clock and a manual clock. Times are in milliseconds.
package clock

import (
	"sync/atomic"
	"time"

	"cherviltide.example/cherviltide"
)

// System reads the wall clock of the operating system.
type System struct{}

// NewSystem returns the system clock.
func NewSystem() System {
	return System{}
}

// Now returns the time since the Unix epoch.
func (System) Now() cherviltide.Millis {
	return cherviltide.Millis(time.Now().UnixMilli())
}

// Manual is a clock that moves only when told to. It is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a manual clock that stands at the given time.
func NewManual(now cherviltide.Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(now))
	return m
}

// Now returns the time that the clock was set to.
func (m *Manual) Now() cherviltide.Millis {
	return cherviltide.Millis(m.now.Load())
}

// Advance moves the clock by the given span, which may be negative.
func (m *Manual) Advance(by cherviltide.Millis) {
	m.now.Add(int64(by))
}

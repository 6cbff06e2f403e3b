// Package clock provides the system clock, a monotonic clock, and a manual clock for tests. Times are in milliseconds.
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

// Monotonic reads the time since its creation, which steps of the wall clock do not change.
type Monotonic struct{ started time.Time }

// NewMonotonic returns a monotonic clock that starts at 0.
func NewMonotonic() Monotonic { return Monotonic{started: time.Now()} }

// Now returns the time since the creation of the clock.
func (m Monotonic) Now() cherviltide.Millis { return cherviltide.MillisOf(time.Since(m.started)) }

// Manual is a clock that only changes when Advance is called. It is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a manual clock that is set to the given time.
func NewManual(now cherviltide.Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(now))
	return m
}

// Now returns the current time of the clock.
func (m *Manual) Now() cherviltide.Millis {
	return cherviltide.Millis(m.now.Load())
}

// Advance moves the clock by the given duration, which may be negative.
func (m *Manual) Advance(by cherviltide.Millis) {
	m.now.Add(int64(by))
}

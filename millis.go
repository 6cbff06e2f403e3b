package cherviltide

import "time"

// Millis is an instant (since the Unix epoch) or a span of time, in milliseconds.
type Millis int64

// MillisOf converts a standard duration to milliseconds, rounding down.
func MillisOf(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Duration converts the span to a standard duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Clock tells the current time. Decision packages take times as arguments; only adapters read a clock.
type Clock interface {
	Now() Millis
}

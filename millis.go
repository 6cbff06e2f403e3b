package cherviltide

import "time"

// Millis is a point in time (since the Unix epoch) or a duration, in milliseconds.
type Millis int64

// MillisOf converts a standard duration to milliseconds, rounding down.
func MillisOf(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Duration converts a duration in milliseconds to a standard duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Clock returns the current time. Packages that make decisions receive times as arguments; only the packages that connect
// them to the network and the disk read a clock.
type Clock interface {
	Now() Millis
}

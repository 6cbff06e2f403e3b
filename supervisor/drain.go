package supervisor

import "cherviltide.example/cherviltide"

// StopTiming has the times of a planned stop, counted from the signal.
type StopTiming struct {
	// MinDrain is how long a stopping process goes on taking work, so that others hear that it leaves.
	MinDrain cherviltide.Millis
	// QuietPeriod is how long others must have left it alone before it ends.
	QuietPeriod cherviltide.Millis
	// MaxDrain is when it ends although others still rely on it.
	MaxDrain cherviltide.Millis
	// LastAnnouncementTimeout bounds the last announcement, which follows.
	LastAnnouncementTimeout cherviltide.Millis
}

// DefaultStopTiming keeps the grace and the way of the announcement together below 3 s.
var DefaultStopTiming = StopTiming{MinDrain: 2_000, QuietPeriod: 1_000, MaxDrain: 8_000, LastAnnouncementTimeout: 2_000}

// drain decides when a stopping process takes nothing any more.
type drain struct {
	// since is the time of the stop signal.
	since cherviltide.Millis
	// changed is when activity was last seen to grow.
	changed  cherviltide.Millis
	activity uint64
	pace     StopTiming
}

// newDrain returns the decision for a process that was told to stop at the given time.
func newDrain(now cherviltide.Millis, activity uint64, pace StopTiming) *drain {
	return &drain{since: now, changed: now, activity: activity, pace: pace}
}

// done reports whether the process may stop, given a count that grows with each datagram.
func (d *drain) done(now cherviltide.Millis, activity uint64) bool {
	if activity != d.activity {
		d.activity, d.changed = activity, now
	}
	stopping := now - d.since
	return stopping >= d.pace.MaxDrain || (stopping >= d.pace.MinDrain && now-d.changed >= d.pace.QuietPeriod)
}

package supervisor

import "cherviltide.example/cherviltide"

// StopTiming has the times of a planned stop, which starts with the stop signal.
type StopTiming struct {
	// MinDrain is how long a stopping process at least keeps taking work, so that the other processes learn that it leaves.
	MinDrain cherviltide.Millis
	// QuietPeriod is how long the process must have received nothing before it stops serving.
	QuietPeriod cherviltide.Millis
	// MaxDrain is when the process stops serving although it still receives datagrams.
	MaxDrain cherviltide.Millis
	// LastAnnouncementTimeout bounds the announcement that the process has finished, which is sent last.
	LastAnnouncementTimeout cherviltide.Millis
}

// DefaultStopTiming keeps MinDrain and the distribution of the announcement together below 3 s.
var DefaultStopTiming = StopTiming{MinDrain: 2_000, QuietPeriod: 1_000, MaxDrain: 8_000, LastAnnouncementTimeout: 2_000}

// drain decides when a stopping process may stop serving.
type drain struct {
	// signaledAt is the time of the stop signal.
	signaledAt cherviltide.Millis
	// lastActivity is when activity was last seen to change.
	lastActivity cherviltide.Millis
	activity     uint64
	timing       StopTiming
}

// newDrain returns the drain of a process that received the stop signal at the given time.
func newDrain(now cherviltide.Millis, activity uint64, timing StopTiming) *drain {
	return &drain{signaledAt: now, lastActivity: now, activity: activity, timing: timing}
}

// done reports whether the process may stop serving; activity is a count that grows with each datagram.
func (d *drain) done(now cherviltide.Millis, activity uint64) bool {
	if activity != d.activity {
		d.activity, d.lastActivity = activity, now
	}
	stopping := now - d.signaledAt
	return stopping >= d.timing.MaxDrain || (stopping >= d.timing.MinDrain && now-d.lastActivity >= d.timing.QuietPeriod)
}

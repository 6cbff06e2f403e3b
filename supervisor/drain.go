package supervisor

import "cherviltide.example/cherviltide"

// Pace has the times of a planned stop, counted from the signal.
type Pace struct {
	// Grace is how long a stopping process goes on taking work, so that others hear that it leaves.
	Grace cherviltide.Millis
	// Quiet is how long others must have left it alone before it ends.
	Quiet cherviltide.Millis
	// Limit is when it ends although others still rely on it.
	Limit cherviltide.Millis
	// End bounds the last announcement, which follows.
	End cherviltide.Millis
}

// DefaultPace keeps the grace and the way of the announcement together below 3 s.
var DefaultPace = Pace{Grace: 2_000, Quiet: 1_000, Limit: 8_000, End: 2_000}

// drain decides when a stopping process takes nothing any more.
type drain struct {
	// since is the time of the stop signal.
	since cherviltide.Millis
	// changed is when activity was last seen to grow.
	changed  cherviltide.Millis
	activity uint64
	pace     Pace
}

// newDrain returns the decision for a process that was told to stop at the given time.
func newDrain(now cherviltide.Millis, activity uint64, pace Pace) *drain {
	return &drain{since: now, changed: now, activity: activity, pace: pace}
}

// done reports whether the process may stop, given a count that grows with each datagram.
func (d *drain) done(now cherviltide.Millis, activity uint64) bool {
	if activity != d.activity {
		d.activity, d.changed = activity, now
	}
	stopping := now - d.since
	return stopping >= d.pace.Limit || (stopping >= d.pace.Grace && now-d.changed >= d.pace.Quiet)
}

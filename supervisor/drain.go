package supervisor

import "cherviltide.example/cherviltide"

// Times of a planned stop, counted from the signal.
const (
	// leaveGrace is how long a stopping process goes on taking work, so that others hear that it leaves. Together with
	// the way of the announcement it stays below 3 s.
	leaveGrace cherviltide.Millis = 2_000
	// quietTime is how long a stopping entry must have forwarded nothing before it ends.
	quietTime cherviltide.Millis = 1_000
	// drainLimit is when a stopping entry ends although others still send to it.
	drainLimit cherviltide.Millis = 8_000
)

// drain decides when a stopping process takes nothing any more.
type drain struct {
	// since is the time of the stop signal.
	since cherviltide.Millis
	// changed is when activity was last seen to grow.
	changed  cherviltide.Millis
	activity uint64
	limit    cherviltide.Millis
}

// newDrain returns the decision for a process that was told to stop at the given time. A limit of 0 means the default.
func newDrain(now cherviltide.Millis, activity uint64, limit cherviltide.Millis) *drain {
	if limit <= 0 {
		limit = drainLimit
	}
	return &drain{since: now, changed: now, activity: activity, limit: limit}
}

// done reports whether the process may stop, given a count that grows with each datagram.
func (d *drain) done(now cherviltide.Millis, activity uint64) bool {
	if activity != d.activity {
		d.activity, d.changed = activity, now
	}
	stopping := now - d.since
	return stopping >= d.limit || (stopping >= leaveGrace && now-d.changed >= quietTime)
}

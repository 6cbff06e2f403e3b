package voter

import "cherviltide.example/cherviltide"

// progress compares the entries that a voter has applied with those that the leader has committed. Contact with the leader does not show
// that they arrive: heartbeats are small, and an entry may be large. The zero value is that of a voter which has just started. Its
// state may be that of an old snapshot, so it has to catch up once before it counts as up to date.
type progress struct {
	// caughtUp is true once all entries were applied that the leader had committed at some moment since the start.
	caughtUp bool
	// known is the highest index that the leader is known to have committed.
	known uint64
	// target is the index that has to be applied next, known since targetSince; it is 0 if all known entries are applied.
	target      uint64
	targetSince cherviltide.Millis
}

// learn records that the leader has committed the entries up to an index.
func (p *progress) learn(committed, applied uint64, now cherviltide.Millis) {
	p.known = max(p.known, committed)
	if p.target == 0 && p.known > applied {
		p.target, p.targetSince = p.known, now
	}
	p.caughtUp = p.caughtUp || p.target == 0
}

// advance records that the entries up to an index are applied.
func (p *progress) advance(applied uint64, now cherviltide.Millis) {
	if p.target == 0 || applied < p.target {
		return
	}
	p.caughtUp, p.target = true, 0
	if p.known > applied {
		p.target, p.targetSince = p.known, now
	}
}

// isWithin reports whether no entry that is not applied has been known for longer than a limit.
func (p *progress) isWithin(limit, now cherviltide.Millis) bool {
	return p.caughtUp && (p.target == 0 || now-p.targetSince < limit)
}

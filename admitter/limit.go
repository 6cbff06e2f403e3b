package admitter

import "cherviltide.example/cherviltide"

const (
	// growAfter is the number of good completions per slot in use before one more slot is used.
	growAfter = 4
	// shrinkPause is the shortest time between two reductions, so that the answers to one overload count once.
	shrinkPause cherviltide.Millis = 500
	// growPause is the time without an overload after which one more slot is used in any case. Without it, a class that
	// may not take the first slot would wait for completions that nobody makes.
	growPause cherviltide.Millis = 1_000
)

// limit is the number of slots in use. It starts at one and grows with good completions, and it shrinks when the target
// sheds requests or takes longer than it used to.
type limit struct {
	// now is between 1 and slots.
	now   int
	slots int
	good  int
	// shrunk is the time of the last reduction.
	shrunk cherviltide.Millis
	// changed is the time of the last change, or of the first look at the time.
	changed cherviltide.Millis
	hinted  bool
}

func newLimit(config Config) limit {
	l := limit{now: 1, slots: config.Slots, shrunk: -shrinkPause}
	if config.Warm {
		l.now = l.slots
	}
	return l
}

func (l *limit) observe(now cherviltide.Millis, completion Completion, slow bool) {
	if completion.Shed || slow {
		l.good = 0
		if now-l.shrunk >= shrinkPause {
			l.now = max(l.now-1, 1)
			l.shrunk, l.changed = now, now
		}
		return
	}
	if completion.Failed {
		return
	}
	l.good++
	needed := growAfter * l.now
	if l.hinted {
		needed *= 2
	}
	if l.good >= needed {
		l.grow(now)
	}
}

// pass takes the time.
func (l *limit) pass(now cherviltide.Millis) {
	if l.changed == 0 {
		l.changed = now
	}
	pause := growPause
	if l.hinted {
		pause *= 2
	}
	if now-l.changed >= pause {
		l.grow(now)
	}
}

func (l *limit) grow(now cherviltide.Millis) {
	l.good = 0
	l.changed = now
	l.now = min(l.now+1, l.slots)
}

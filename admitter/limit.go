package admitter

import "cherviltide.example/cherviltide"

const (
	// completionsPerIncrease is the number of successful completions per slot of the limit after which the limit grows by
	// one.
	completionsPerIncrease = 4
	// minDecreaseInterval is the shortest time between two decreases, so that the responses to one overload count once.
	minDecreaseInterval cherviltide.Millis = 500
	// idleIncreaseInterval is the time without a change after which the limit grows by one without any completion. A class
	// that may not use the first slot would otherwise wait for completions that no request can produce.
	idleIncreaseInterval cherviltide.Millis = 1_000
)

// concurrencyLimit is the number of slots that may be used at present. It starts at one and grows with successful
// completions. It shrinks when the target rejects requests because of its load or becomes slower than before.
type concurrencyLimit struct {
	// current is between 1 and slots.
	current     int
	slots       int
	completions int
	// lastDecrease is the time of the last decrease.
	lastDecrease cherviltide.Millis
	// lastChange is the time of the last change or, before any change, of the first tick.
	lastChange cherviltide.Millis
	// overloadReported is true while the target reports that it is full.
	overloadReported bool
}

func newConcurrencyLimit(config Config) concurrencyLimit {
	l := concurrencyLimit{current: 1, slots: config.Slots, lastDecrease: -minDecreaseInterval}
	if config.SkipRampUp {
		l.current = l.slots
	}
	return l
}

// observe adjusts the limit to a completion; slow is true when the target has become slow for the request's kind.
func (l *concurrencyLimit) observe(now cherviltide.Millis, completion Completion, slow bool) {
	if completion.Shed || slow {
		l.completions = 0
		if now-l.lastDecrease >= minDecreaseInterval {
			l.current = max(l.current-1, 1)
			l.lastDecrease, l.lastChange = now, now
		}
		return
	}
	if completion.Failed {
		return
	}
	l.completions++
	needed := completionsPerIncrease * l.current
	if l.overloadReported {
		needed *= 2
	}
	if l.completions >= needed {
		l.increase(now)
	}
}

// tick grows the limit when it has not changed for long.
func (l *concurrencyLimit) tick(now cherviltide.Millis) {
	if l.lastChange == 0 {
		l.lastChange = now
	}
	interval := idleIncreaseInterval
	if l.overloadReported {
		interval *= 2
	}
	if now-l.lastChange >= interval {
		l.increase(now)
	}
}

func (l *concurrencyLimit) increase(now cherviltide.Millis) {
	l.completions = 0
	l.lastChange = now
	l.current = min(l.current+1, l.slots)
}

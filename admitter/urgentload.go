package admitter

import (
	"math"

	"cherviltide.example/cherviltide"
)

const (
	// urgentLoadTimeConstant is the time constant of the exponential average of the urgent load.
	urgentLoadTimeConstant cherviltide.Millis = 5_000
	// minObservationTime is the shortest time that the average covers.
	minObservationTime cherviltide.Millis = 500
	// reserveMargin scales the urgent load to the size of the reserve. When requests of random duration keep a slot busy
	// for 90% of the time, a request waits for ten service times.
	reserveMargin = 1.25
)

// urgentLoad estimates the number of slots that the urgent requests of the last seconds need. The configured reserve
// alone may be too small: long transfers could hold all other slots for seconds.
type urgentLoad struct {
	// work is the sum of the expected service times of the arrivals, decayed until updatedAt.
	work      float64
	updatedAt cherviltide.Millis
	// firstArrival is when the average starts.
	firstArrival cherviltide.Millis
}

// add records an urgent arrival with its expected service time.
func (l *urgentLoad) add(now, expected cherviltide.Millis) {
	if l.updatedAt == 0 {
		l.firstArrival = now
	}
	l.work = l.decayedWork(now) + float64(expected)
	l.updatedAt = now
}

// slots returns the estimate, in slots.
func (l *urgentLoad) slots(now cherviltide.Millis) float64 {
	observed := max(now-l.firstArrival, minObservationTime)
	return l.decayedWork(now) / float64(urgentLoadTimeConstant) / (1 - math.Exp(-float64(observed)/float64(urgentLoadTimeConstant)))
}

func (l *urgentLoad) decayedWork(now cherviltide.Millis) float64 {
	return l.work * math.Exp(-float64(now-l.updatedAt)/float64(urgentLoadTimeConstant))
}

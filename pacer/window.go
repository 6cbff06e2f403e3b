package pacer

import (
	"math"

	"cherviltide.example/cherviltide"
)

const (
	// windowLength is the time over which deliveries are counted. The bound holds at the target in any second. A process with a
	// quota of processor time pauses for up to a period of 100 ms, so that packets may arrive this much closer together than the
	// agent has recorded them.
	windowLength cherviltide.Millis = 1_100
	// maxLimit bounds the limit and with it the memory of a window, at 64 KB. Targets bear far less while they are cold.
	maxLimit = 8_192
	// minCapacity is the number of deliveries that are kept before a limit is known.
	minCapacity = 64
	// unlimited is the limit of a window that has none.
	unlimited = -1
)

// Bound is the hard bound for cold targets: in any second at most Excess times the rate of the service's warm-up plus Margin
// opening packets. Without Enabled there is no bound.
type Bound struct {
	Enabled        bool
	Excess, Margin float64
}

// limit returns the opening packets that a cold target may get in a second, or unlimited.
func (b Bound) limit(w cherviltide.WarmUp) int {
	if !b.Enabled || !w.HasRate {
		return unlimited
	}
	return int(math.Floor(min(max(w.Rate*b.Excess+b.Margin, 0), maxLimit)))
}

// window has the newest deliveries in a ring, at least as many as the limit.
type window struct {
	limit int
	times []cherviltide.Millis
	// next is the place of the next delivery in times, count the number of deliveries that are kept.
	next, count int
	// unknownUntil is the agent's start. Unless complete is true, the limit may have been delivered right before it.
	unknownUntil cherviltide.Millis
	complete     bool
	// lostUntil is the time of the newest delivery that may have been dropped from the ring although the limit counts it.
	lostUntil cherviltide.Millis
	hasLost   bool
}

// setLimit changes the limit. A ring that is too small for the new limit has dropped deliveries that would count.
func (w *window) setLimit(limit int) {
	w.limit = limit
	if limit <= len(w.times) {
		return
	}
	if w.count > 0 && w.count == len(w.times) {
		w.hasLost, w.lostUntil = true, w.recent(w.count)
	}
	w.resize(max(limit, minCapacity))
}

func (w *window) resize(capacity int) {
	times := make([]cherviltide.Millis, capacity)
	for i := range w.count {
		times[i] = w.recent(w.count - i)
	}
	w.times, w.next = times, w.count%capacity
}

func (w *window) add(now cherviltide.Millis) {
	if w.times == nil {
		w.resize(minCapacity)
	}
	if w.count > 0 {
		// Decisions of several goroutines may come with times that are slightly out of order.
		now = max(now, w.recent(1))
	}
	w.times[w.next] = now
	w.next = (w.next + 1) % len(w.times)
	w.count = min(w.count+1, len(w.times))
}

// recent returns the time of the n-th newest delivery, from 1 to count.
func (w *window) recent(n int) cherviltide.Millis {
	return w.times[(w.next-n+len(w.times))%len(w.times)]
}

// wait returns the time until the limit, which is above 0, allows a delivery that others precede.
func (w *window) wait(now cherviltide.Millis, ahead int) cherviltide.Millis {
	free := now
	if !w.complete {
		free = max(free, w.unknownUntil+windowLength)
	}
	if w.hasLost {
		free = max(free, w.lostUntil+windowLength)
	}
	// The delivery that this one replaces in the window: as many others as the limit follow it.
	if n := w.limit - ahead%w.limit; n <= w.count {
		free = max(free, w.recent(n)+windowLength)
	}
	return free - now + cherviltide.Millis(ahead/w.limit)*windowLength
}

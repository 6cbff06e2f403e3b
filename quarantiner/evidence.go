package quarantiner

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// Reason is the evidence against a target. Its name is written to the log.
type Reason uint8

// The reasons.
const (
	ReasonNone     Reason = iota
	ReasonFailures        // Several requests or opening packets in a row had no answer.
	ReasonShare           // A large share of the requests of some seconds had no answer.
	ReasonSilence         // All slots were taken and no answer began.
	ReasonSlow            // Service times are many times the usual ones and those of the peers.
)

var reasonNames = [...]string{"None", "Failures", "Share", "Silence", "Slow"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

const (
	// failuresInRow failures without an answer in between, over at least failureSpan, are evidence. The span is longer than the
	// loss of all flows in one moment takes, as with a restart of the target.
	failuresInRow                    = 5
	failureSpan   cherviltide.Millis = 500
	// failedShare of the requests of window is evidence when at least minFailed have failed.
	failedShare                    = 0.5
	minFailed                      = 8
	windowSlots                    = 5
	windowSlot  cherviltide.Millis = 1_000
	// minSilence is the shortest time without the beginning of an answer that is evidence. It is longer than pauses of a
	// process for the collection of garbage, and shorter than the deadlines of requests.
	minSilence cherviltide.Millis = 1_000
	// A silence is evidence only when it is slowestFactor times the slowest answer of the last minutes, so that long requests
	// are not taken for a fault.
	slowestFactor = 2
	// maxTick bounds the time that one tick adds to a silence. A process that did not run has not observed the target.
	maxTick cherviltide.Millis = 300
	// slowFactor is above the differences in speed between the targets of one service (2.4 measured).
	slowFactor = 4
	// minSlowdown is the least increase of the service time that is evidence, in milliseconds: smaller ones leave room in goals
	// of 250 ms.
	minSlowdown = 100
	// busyInterval is the time with waiting requests from which a service time is derived.
	busyInterval cherviltide.Millis = 500
	// slowSpan is how long a target must be slow. The weights of the peers, from which their service times follow, take up to
	// this time to show a change that concerns all of them.
	slowSpan cherviltide.Millis = 20_000
	// usualShare is the weight of a sample in the usual service time.
	usualShare = 1.0 / 512
	// usualCap bounds a sample of the usual time, in multiples of this time, so that faults in which the target is not slow
	// throughout do not become usual at once.
	usualCap = 3
	// minUsual samples make the usual time known, minRecent the recent one, of which the median counts, so that a few long
	// requests do not make a target slow. minRenewed is the number for a target in probation.
	minUsual   = 64
	minRecent  = 16
	minRenewed = 3
	// slowestPeriod is the time after which the slowest answer of a period is forgotten, at most twice this time later.
	slowestPeriod cherviltide.Millis = 60_000
)

// evidence is what the target's flows have shown lately.
type evidence struct {
	counts  [windowSlots]struct{ slot, answered, failed int }
	inRow   int
	rowFrom cherviltide.Millis
	rowTo   cherviltide.Millis
	// silentFor is the time without the beginning of an answer while enough requests were in work, up to the last tick.
	silentFor, tickAt cherviltide.Millis
	// busyFor is the time for which requests waited for slots at the target, busyAnswers the number of answers in this time.
	busyFor                  cherviltide.Millis
	busyAnswers, tickAnswers int
	wasBusy                  bool
	// usual is the mean service time of usualCount samples, in milliseconds. recent has the last recentCount samples.
	usual       float64
	usualCount  int
	recent      [minRecent]cherviltide.Millis
	recentCount int
	// slowSince is when the recent times became slow, at a tick; 0 when they are not.
	slowSince cherviltide.Millis
	// slowest is the longest time until an answer in this period and in the one before; period is its number.
	slowest [2]cherviltide.Millis
	period  cherviltide.Millis
}

// clear forgets all but what is usual for the target.
func (e *evidence) clear() {
	*e = evidence{usual: e.usual, usualCount: e.usualCount, slowest: e.slowest, period: e.period, tickAt: e.tickAt}
}

func (e *evidence) count(now cherviltide.Millis) *struct{ slot, answered, failed int } {
	slot := int(now / windowSlot)
	c := &e.counts[slot%windowSlots]
	if c.slot != slot {
		*c = struct{ slot, answered, failed int }{slot: slot}
	}
	return c
}

func (e *evidence) answered(now, took, serviceTime cherviltide.Millis) {
	e.count(now).answered++
	e.inRow = 0
	e.tickAnswers++
	if period := now / slowestPeriod; period != e.period {
		e.slowest[1] = 0
		if period == e.period+1 {
			e.slowest[1] = e.slowest[0]
		}
		e.slowest[0], e.period = 0, period
	}
	e.slowest[0] = max(e.slowest[0], took)
	if serviceTime > 0 {
		e.addRecent(serviceTime)
	}
}

func (e *evidence) addRecent(serviceTime cherviltide.Millis) {
	former := &e.recent[e.recentCount%minRecent]
	if e.recentCount >= minRecent && e.slowSince == 0 {
		e.addUsual(float64(*former))
	}
	*former = serviceTime
	e.recentCount++
}

// addUsual adds a service time that is no longer recent to the usual one. While the recent times are slow, the usual one stays
// as it was before the fault.
func (e *evidence) addUsual(sample float64) {
	e.usualCount++
	if e.usualCount > minUsual {
		sample = min(sample, usualCap*e.usual)
	}
	e.usual += (sample - e.usual) * max(usualShare, 1/float64(e.usualCount))
}

func (e *evidence) failed(now cherviltide.Millis) {
	e.count(now).failed++
	if e.inRow == 0 {
		e.rowFrom = now
	}
	e.inRow++
	e.rowTo = now
}

// tick measures for how long the target has been silent or slow. busy is the number of requests in work from which on it counts.
func (e *evidence) tick(now cherviltide.Millis, working, slots, busy int, peers Peers) {
	switch {
	case e.recentCount < minRecent || !e.isSlow(peers):
		e.slowSince = 0
	case e.slowSince == 0:
		e.slowSince = now
	}
	passed, answers := min(now-e.tickAt, maxTick), e.tickAnswers
	e.tickAt, e.tickAnswers = now, 0
	e.measureBusy(passed, answers, working, slots)
	if answers > 0 || working < busy {
		e.silentFor = 0
		return
	}
	e.silentFor += passed
}

// measureBusy derives service times from the rate of answers while requests wait for slots, when no single request shows them:
// an overloaded target answers as fast as ever, a slow one does not.
func (e *evidence) measureBusy(passed cherviltide.Millis, answers, working, slots int) {
	isBusy := working > slots
	if isBusy && e.wasBusy {
		e.busyFor += passed
		e.busyAnswers += answers
	}
	e.wasBusy = isBusy
	if e.busyFor >= busyInterval && e.busyAnswers > 0 {
		e.addRecent(e.busyFor * cherviltide.Millis(slots) / cherviltide.Millis(e.busyAnswers))
		e.busyFor, e.busyAnswers = 0, 0
	}
}

// reason returns the evidence against a target in service.
func (e *evidence) reason(now cherviltide.Millis) Reason {
	answered, failed := 0, 0
	for _, c := range e.counts {
		if now/windowSlot-cherviltide.Millis(c.slot) < windowSlots {
			answered, failed = answered+c.answered, failed+c.failed
		}
	}
	switch {
	case e.inRow >= failuresInRow && e.rowTo-e.rowFrom >= failureSpan:
		return ReasonFailures
	case failed >= minFailed && float64(failed) >= failedShare*float64(failed+answered):
		return ReasonShare
	case e.isSilent():
		return ReasonSilence
	case e.slowSince != 0 && now-e.slowSince >= slowSpan:
		return ReasonSlow
	}
	return ReasonNone
}

func (e *evidence) isSilent() bool {
	slowest := max(e.slowest[0], e.slowest[1])
	return e.silentFor >= max(minSilence, slowestFactor*slowest)
}

// isSlow reports whether recent service times are far above the target's own usual ones and those of the peers. A target
// that has always been slow, or that is slow together with its peers, is not.
func (e *evidence) isSlow(peers Peers) bool {
	recent := e.recentMedian()
	return e.usualCount >= minUsual && recent >= slowFactor*e.usual && recent >= e.usual+minSlowdown && recent >= slowFactor*peers.ServiceTime
}

// recentMedian returns the median of the recent service times.
func (e *evidence) recentMedian() float64 {
	sorted := e.recent
	recent := sorted[:min(e.recentCount, minRecent)]
	slices.Sort(recent)
	return float64(recent[len(recent)/2])
}

// reasonInProbation returns the evidence against a target in probation, of which less is needed.
func (e *evidence) reasonInProbation(peers Peers) Reason {
	switch {
	case e.inRow > 0:
		return ReasonFailures
	case e.isSilent():
		return ReasonSilence
	case e.recentCount >= minRenewed && e.isSlow(peers):
		return ReasonSlow
	}
	return ReasonNone
}

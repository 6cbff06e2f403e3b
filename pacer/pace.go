package pacer

import "cherviltide.example/cherviltide"

const (
	// slowRatio is the ratio of a round's mean service time to the expected one, or to that with the fewest concurrent requests,
	// from which the target counts as delayed. Means of a few requests vary by up to a quarter.
	slowRatio = 1.5
	// steadyRatio is the ratio of a round's mean to that of the round before from which the target is no longer improving.
	steadyRatio = 0.8
	// degradedRatio is the ratio of a round's mean to the expected service time from which a warm target gets a pace. It is
	// above the difference between the slowest and the fastest warm targets, which is 2.4.
	degradedRatio = 3
	// degradedShare is the share of the requests of such a round that are delayed: one request alone may take very long.
	degradedShare = 0.75
	// warmRound and minRound are the requests of a round while the target is warm, and the fewest while it has a pace.
	warmRound, minRound = 8, 3
	// warmTimeWeight is the weight of a round in the mean service time of the warm target.
	warmTimeWeight = 0.25
	// baseWeight is the weight of a round in the mean with the lowest limit; it follows a target that gets warmer.
	baseWeight = 0.5
	// maxPatience bounds the rounds without improvement that precede a raise, after several raises that delayed the target.
	maxPatience = 8
)

// pace limits the concurrent requests of a target. It compares rounds of requests: within the expected service time the limit
// doubles. Above it, the limit rises by half when the target no longer improves, since fewer requests would not make it faster,
// and falls by a quarter when the target is slower than it was with the fewest requests. After twice the warm-up time the target
// has all its slots in any case.
type pace struct {
	// duration is the warm-up time of the service, slots are those of the target.
	duration cherviltide.Millis
	slots    int
	active   bool
	// since is when the pace began.
	since cherviltide.Millis
	limit int
	// count and sum are the number of requests and their service times since the last round, delayed the number of those above
	// slowRatio times the expected time.
	count, delayed int
	sum            float64
	// lastMean is the mean of the round before; 0 when there is none to compare with.
	lastMean float64
	// baseMean is the smoothed mean of the rounds with baseLimit, the lowest limit of this pace; 0 before the first.
	baseMean  float64
	baseLimit int
	// steadyRounds counts the rounds without improvement; patience is how many of them precede a raise.
	steadyRounds, patience int
	// warmTime is the mean service time of the warm target, peerTime that of its peers; 0 when it is not known.
	warmTime, peerTime float64
	// newestMean is the mean of the last round of this pace.
	newestMean float64
}

// begin starts with a limit; restart also starts the time limit again.
func (c *pace) begin(now cherviltide.Millis, limit int, restart bool) {
	if restart {
		c.since, c.newestMean, c.patience = now, 0, 1
	}
	if restart || limit < c.baseLimit {
		c.baseLimit, c.baseMean = limit, 0
	}
	c.active, c.limit = true, limit
	c.lastMean, c.steadyRounds = 0, 0
	c.endRound()
}

// end ends the pace. A target that stayed slow counts as warm with its present service time.
func (c *pace) end() {
	c.active = false
	c.endRound()
	if c.newestMean > slowRatio*c.expected() {
		c.warmTime = c.newestMean
	}
}

// expected returns the mean service time that a warm target would have; 0 when it is not known. The target's own time counts
// when it is the longer one: a warm target that is slower than its peers need not reach their times.
func (c *pace) expected() float64 { return max(c.warmTime, c.peerTime) }

// present returns the limit, which rises with time after the warm-up so that every target gets all slots in the end.
func (c *pace) present(now cherviltide.Millis) int {
	limit := c.limit
	if over := now - c.since - c.duration; over > 0 {
		limit = max(limit, 1+int(cherviltide.Millis(c.slots-1)*over/c.duration))
	}
	return max(min(limit, c.slots), 1)
}

// observe records a service time. It returns true when a warm target has become so slow that it needs a pace.
func (c *pace) observe(now cherviltide.Millis, serviceTime float64) bool {
	c.count++
	c.sum += serviceTime
	if serviceTime > slowRatio*c.expected() {
		c.delayed++
	}
	size := warmRound
	if c.active {
		size = max(2*c.present(now), minRound)
	}
	if c.count < size {
		return false
	}
	mean, delayed := c.sum/float64(c.count), float64(c.delayed)/float64(c.count)
	c.endRound()
	if c.active {
		c.newestMean = mean
		c.adapt(mean)
		return false
	}
	if e := c.expected(); e > 0 && mean > degradedRatio*e && delayed >= degradedShare {
		return true
	}
	if c.warmTime == 0 {
		c.warmTime = mean
	}
	if e := c.expected(); e > 0 {
		// One request that took very long must not hide a delay later.
		mean = min(mean, slowRatio*e)
	}
	c.warmTime += (mean - c.warmTime) * warmTimeWeight
	return false
}

// endRound begins another round.
func (c *pace) endRound() { c.count, c.delayed, c.sum = 0, 0, 0 }

// adapt changes the limit after a round.
func (c *pace) adapt(mean float64) {
	switch {
	case c.limit <= c.baseLimit && c.baseMean == 0:
		c.baseMean = mean
	case c.limit <= c.baseLimit:
		c.baseMean += (mean - c.baseMean) * baseWeight
	}
	switch e := c.expected(); {
	case e > 0 && mean <= slowRatio*e:
		c.raise(c.limit)
		return
	case c.limit > c.baseLimit && mean > slowRatio*c.baseMean:
		c.limit -= max(c.limit/4, 1)
		c.lastMean, c.steadyRounds = 0, 0
		c.patience = min(2*c.patience, maxPatience)
		return
	case c.lastMean > 0 && mean >= steadyRatio*c.lastMean:
		if c.steadyRounds++; c.steadyRounds >= c.patience {
			c.lastMean = mean
			c.raise(max(c.limit/2, 1))
			return
		}
	}
	c.lastMean = mean
}

func (c *pace) raise(by int) {
	c.limit += by
	c.steadyRounds = 0
}

package admitter

import "cherviltide.example/cherviltide"

// Rules of the queue.
const (
	// minRetryAfter is the shortest retry hint.
	minRetryAfter cherviltide.Millis = 100
	// agedTurns is the number of turns by rank between two starts by age. An urgent start is one turn and another start is
	// otherTurns: aged requests get at most one start in nine of their own share, and one for 256 urgent starts.
	agedTurns  = 256
	otherTurns = 32
	// neededFactor is how many times its expected time a request has to have left when it starts. With one expected time,
	// more than a third of the requests that start last would end after their deadline.
	neededFactor = 2
)

// Config describes the slots of one target.
type Config struct {
	// Slots is how many requests the target runs at once; it is at least 1.
	Slots int
	// Reserve is the number of slots that only urgent requests take. The default is 1 when there is more than one slot.
	Reserve int
	// ReserveHold is how long the reserve is kept after an urgent arrival. The default is 30 s.
	ReserveHold cherviltide.Millis
	// Aging is the wait after which a request may go before its rank. The default is 5 s.
	Aging cherviltide.Millis
	// Queue is the highest number of waiting requests of one class. The default is 256.
	Queue int
	// Warm skips the ramp after a start.
	Warm bool
}

func (c Config) withDefaults() Config {
	c.Slots = max(c.Slots, 1)
	if c.Reserve == 0 && c.Slots > 1 {
		c.Reserve = 1
	}
	if c.ReserveHold == 0 {
		c.ReserveHold = 30_000
	}
	if c.Aging == 0 {
		c.Aging = 5_000
	}
	if c.Queue == 0 {
		c.Queue = 256
	}
	return c
}

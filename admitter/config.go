package admitter

import "cherviltide.example/cherviltide"

const (
	// minRetryAfter is the shortest retry delay that a refusal names.
	minRetryAfter cherviltide.Millis = 100
	// agedStartCredits is the number of credits that regular starts must collect before an aged request may start ahead of
	// its class order. An urgent start gives one credit and any other start gives otherStartCredits, so aged requests get
	// at most one of nine non-urgent starts, and one start for 256 urgent ones.
	agedStartCredits  = 256
	otherStartCredits = 32
	// requiredTimeFactor is the multiple of its expected service time that a request must have left before its deadline
	// when it starts. With a factor of 1, more than a third of the requests that start last would miss their deadline.
	requiredTimeFactor = 2
)

// Config describes the slots of one target.
type Config struct {
	// Slots is the number of requests that the target runs concurrently; it is at least 1.
	Slots int
	// UrgentReserve is the number of slots that only urgent requests may use. The default is 1 when there is more than one
	// slot.
	UrgentReserve int
	// ReserveHoldTime is how long the reserve is kept after an urgent arrival. The default is 30 s.
	ReserveHoldTime cherviltide.Millis
	// AgingTime is the wait after which a request may start ahead of its class order. The default is 5 s.
	AgingTime cherviltide.Millis
	// QueueLimit is the largest number of waiting requests of one class. The default is 256.
	QueueLimit int
	// SkipRampUp uses all slots from the start instead of beginning with one.
	SkipRampUp bool
}

func (c Config) withDefaults() Config {
	c.Slots = max(c.Slots, 1)
	if c.UrgentReserve == 0 && c.Slots > 1 {
		c.UrgentReserve = 1
	}
	if c.ReserveHoldTime == 0 {
		c.ReserveHoldTime = 30_000
	}
	if c.AgingTime == 0 {
		c.AgingTime = 5_000
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = 256
	}
	return c
}

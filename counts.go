package cherviltide

// Counts has the numbers of requests by outcome.
type Counts struct {
	Timely, Late, Partial, Refused, Unknown uint64
}

// KindCounts has the counts of one kind of traffic since the start of a process.
type KindCounts struct {
	Service, Kind string
	Counts        Counts
}

// Total returns the number of requests.
func (c Counts) Total() uint64 {
	return c.Timely + c.Late + c.Partial + c.Refused + c.Unknown
}

// Plus returns the sum of both counts.
func (c Counts) Plus(other Counts) Counts {
	return Counts{
		Timely:  c.Timely + other.Timely,
		Late:    c.Late + other.Late,
		Partial: c.Partial + other.Partial,
		Refused: c.Refused + other.Refused,
		Unknown: c.Unknown + other.Unknown,
	}
}

// With returns the counts plus one request with the given outcome.
func (c Counts) With(outcome Outcome) Counts {
	switch outcome {
	case OutcomeTimely:
		c.Timely++
	case OutcomeLate:
		c.Late++
	case OutcomePartial:
		c.Partial++
	case OutcomeRefused:
		c.Refused++
	default:
		c.Unknown++
	}
	return c
}

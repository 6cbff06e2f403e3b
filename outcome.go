package cherviltide

// Outcome is the result of a request. Every request has exactly one.
type Outcome string

// The outcomes of a request.
const (
	OutcomeTimely  Outcome = "Timely"  // Complete within the deadline.
	OutcomeLate    Outcome = "Late"    // Complete, after the deadline.
	OutcomePartial Outcome = "Partial" // The response of the target was truncated; the caller's stream was reset.
	OutcomeRefused Outcome = "Refused" // Not executed: no byte was sent to the target.
	OutcomeUnknown Outcome = "Unknown" // Failed after bytes were sent; the effect is unknown.
)

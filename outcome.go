package cherviltide

// Outcome is how a request ended. Every request has exactly one.
type Outcome string

// The outcomes of a request.
const (
	OutcomeTimely  Outcome = "Timely"  // Complete and within the deadline.
	OutcomeLate    Outcome = "Late"    // Complete, after the deadline.
	OutcomePartial Outcome = "Partial" // The target's answer was cut; the caller's stream was reset.
	OutcomeRefused Outcome = "Refused" // Not run: no byte was sent to the target.
	OutcomeUnknown Outcome = "Unknown" // Failed after bytes were sent; the effect is unknown.
)

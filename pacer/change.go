package pacer

import "cherviltide.example/cherviltide"

// Cause is why a target gets new flows at a pace. Its name is written to the log.
type Cause string

// The causes.
const (
	CauseStarted    Cause = "Started"    // The target has started, or reports that it is cold.
	CauseRecovered  Cause = "Recovered"  // The target takes new flows again.
	CauseRestored   Cause = "Restored"   // The evacuation of the target's failure domain is withdrawn.
	CauseSlow       Cause = "Slow"       // The target is much slower than before.
	CauseUnanswered Cause = "Unanswered" // The target has left a request unanswered.
)

// Change is a change of what the pacer believes about its target.
type Change struct {
	At cherviltide.Millis
	// Full is true when the target has reached its full pace, and false when the pace has begun.
	Full  bool
	Cause Cause
	// Limit and Slots are the concurrent requests that the target may have, and its slots.
	Limit, Slots int
	// Left is the remaining warm-up when the pace begins. Took is the time from the beginning to the full pace.
	Left, Took cherviltide.Millis
}

// maxChanges bounds the changes that are kept until they are taken; further ones are dropped.
const maxChanges = 16

func (p *Pacer) addChange(c Change) {
	if len(p.changes) < maxChanges {
		p.changes = append(p.changes, c)
	}
}

// TakeChanges returns the changes since the last call.
func (p *Pacer) TakeChanges() []Change {
	changes := p.changes
	p.changes = nil
	return changes
}

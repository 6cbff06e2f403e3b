package relayer

import (
	"go.uber.org/zap"

	"cherviltide.example/cherviltide/quarantiner"
)

// QuarantineReport is the state of a target that may be grey, for the metrics.
type QuarantineReport struct {
	State string
	// Reason is the evidence with which the target was last taken out of service, Times how often that happened.
	Reason string
	Times  int
}

// Quarantine returns the state of a target that may be grey.
func (r *Relayer) Quarantine() QuarantineReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, reason, _ := r.decider.Quarantine()
	return QuarantineReport{State: state.String(), Reason: reason.String(), Times: r.timesOut}
}

// quarantineEvents has the log events of the states that a target enters.
var quarantineEvents = map[quarantiner.State]string{
	quarantiner.StateInService: "TargetRestored", quarantiner.StateClaiming: "QuarantineClaimed",
	quarantiner.StateOut: "TargetQuarantined", quarantiner.StateProbation: "TargetTried",
}

// reportQuarantine logs a change of the target's state, and asks control for a pause or its end. Only the goroutine of expire
// calls it.
func (r *Relayer) reportQuarantine() {
	r.mu.Lock()
	state, reason, paused := r.decider.Quarantine()
	changed := state != r.quarantine
	if changed && state == quarantiner.StateOut {
		r.timesOut++
	}
	r.quarantine = state
	r.mu.Unlock()
	if changed {
		r.config.Log.Warn(quarantineEvents[state], zap.String("Target", r.config.Self().Name), zap.Stringer("Reason", reason))
	}
	if paused != r.paused && r.config.SetPaused != nil {
		r.config.SetPaused(paused)
	}
	r.paused = paused
}

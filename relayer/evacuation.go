package relayer

import "cherviltide.example/cherviltide"

// isEvacuated reports whether the agent's failure domain is evacuated, so that its target must get no new flow: neither as the
// owner of a flow, nor for an offer, nor for a flow that waits, nor as the last resort.
func (in Input) isEvacuated() bool {
	return in.Table.IsEvacuated(in.Self.FailureDomain)
}

// refusalReason returns the reason for the refusal of a new flow that no agent takes.
func (in Input) refusalReason() Reason {
	if in.isEvacuated() {
		return ReasonEvacuated
	}
	return ReasonUnavailable
}

// OpenFlows returns the number of flows that are open at the target, as far as the agent knows. The flows of an agent that has
// restarted count from their next packet.
func (d *Decider) OpenFlows() int {
	n := 0
	for _, f := range d.flows {
		if f.isOpen() {
			n++
		}
	}
	return n
}

// OpenFlows returns the number of flows that are open at the target, as far as the agent knows.
func (r *Relayer) OpenFlows() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decider.OpenFlows()
}

// countEvacuation counts an opening packet that is refused or handed on because the agent's failure domain is evacuated.
func (r *Relayer) countEvacuation(in Input, decision Decision, p cherviltide.Packet) {
	if !p.OpensFlow() || !in.isEvacuated() {
		return
	}
	switch {
	case decision.Action == ActionRefuse:
		r.Counters.EvacuationRefused.Add(1)
	case decision.Action == ActionForward && decision.Reason == ReasonNotOwner, decision.Reason == ReasonOffered, decision.Reason == ReasonDeclined:
		r.Counters.EvacuationHandedOn.Add(1)
	}
}

package relayer

import (
	"cherviltide.example/cherviltide"
)

// FromTarget decides about a packet that the target sent or returned.
func (d *Decider) FromTarget(in Input, p cherviltide.Packet) Decision {
	d.observeTable(in)
	d.unansweredSince, d.silentSince = 0, 0
	if p.Flags&cherviltide.PacketReturned != 0 {
		return d.handleReturnedPacket(in, p)
	}
	key := cherviltide.FlowKey{Caller: p.Destination, Virtual: p.Source}
	f := d.flows[key]
	if f == nil && d.targetMayHoldUnknown(in.Now) {
		f = &flow{inferred: true, answered: true, established: !p.Has(cherviltide.PacketOpen), openedAt: in.Now}
		d.flows[key] = f
	}
	decision := Decision{Action: ActionAnswer, Reason: ReasonTarget}
	if f != nil {
		decision.Phase, decision.Duration = d.recordTargetPacket(in, f, p)
	}
	return decision
}

// recordTargetPacket updates a flow after a packet from the target, and returns the phase that the packet ends and the
// duration of the phase.
func (d *Decider) recordTargetPacket(in Input, f *flow, p cherviltide.Packet) (phase Phase, duration cherviltide.Millis) {
	f.lastPacketAt = in.Now
	if p.Has(cherviltide.PacketOpen | cherviltide.PacketAck) {
		if !f.answered {
			phase, duration = PhaseOpening, in.Now-f.openedAt
		}
		f.targetSequence, f.answered = p.Sequence, true
	}
	if p.Length > 0 {
		d.recordAnswer(in, f)
	}
	if p.Length > 0 && f.requestedAt != 0 {
		phase, duration = PhaseService, in.Now-f.requestedAt
		if f.transfer != nil {
			d.load.uploadTime.add(duration)
		} else {
			d.observePromptness(f, duration)
			d.load.serviceTime.add(duration)
		}
		d.observeServiceTime(in.Now, f, duration)
		f.requestedAt = 0
	}
	if p.Length > 0 {
		d.markAnswered(f)
		f.answering = true
		if p.Length < d.limits.MaxPayload {
			d.markIdle(f)
		} else {
			d.startSending(f)
		}
	}
	if p.Has(cherviltide.PacketFinish) {
		f.targetFinished = true
		d.recordEnd(in, f)
		d.markIdle(f)
	}
	if p.Has(cherviltide.PacketReset) {
		d.recordEnd(in, f)
		d.markIdle(f)
		f.endedAt = in.Now
	}
	if f.targetFinished && f.callerFinished && f.endedAt == 0 {
		f.endedAt = in.Now
	}
	return phase, duration
}

// handleReturnedPacket decides about a packet that the target has returned because it does not hold or take the flow.
func (d *Decider) handleReturnedPacket(in Input, p cherviltide.Packet) Decision {
	key := cherviltide.FlowKey{Caller: p.Source, Virtual: p.Destination}
	f := d.flows[key]
	a, ok := d.tokens.take(p.Token, key)
	a.Packet = p
	a.Packet.Flags &^= cherviltide.PacketReturned
	if !ok {
		if f != nil && !p.OpensFlow() {
			// Packets of a flow that the agent holds are delivered without a token, so the target no longer holds the flow.
			d.removeFlow(key, f)
			return Decision{Reason: ReasonGone}
		}
		return Decision{Reason: ReasonForged}
	}
	var decision Decision
	if p.OpensFlow() {
		if d.load.active <= d.target.Slots {
			d.quarantine.Failed(in.Now)
		}
		if f != nil {
			d.removeFlow(key, f)
		}
		d.targetFullUntil = in.Now + targetFullPause
		decision = d.handleTargetRefusal(in, a)
	} else {
		d.remoteFlows.markNotAtTarget(key, in.Now)
		decision = d.searchHolder(in, a)
	}
	decision.Restore = true
	return decision
}

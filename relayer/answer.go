package relayer

import (
	"cherviltide.example/cherviltide"
)

// FromTarget decides about a packet that the target sent or returned.
func (c *Core) FromTarget(x Context, p cherviltide.Packet) Step {
	c.observe(x)
	c.waiting = 0
	if p.Flags&cherviltide.PacketReturned != 0 {
		return c.returned(x, p)
	}
	key := cherviltide.FlowKey{Caller: p.Destination, Virtual: p.Source}
	f := c.flows[key]
	if f == nil && c.unsure(x.Now) {
		f = &flow{learnt: true, answered: true, open: true, began: x.Now}
		c.flows[key] = f
	}
	step := Step{Action: ActionAnswer, Reason: ReasonTarget}
	if f != nil {
		step.Phase, step.Took = c.fromTarget(x, f, p)
	}
	return step
}

// fromTarget notes a packet of the target and returns the phase that it ends.
func (c *Core) fromTarget(x Context, f *flow, p cherviltide.Packet) (phase Phase, took cherviltide.Millis) {
	f.last = x.Now
	if p.Has(cherviltide.PacketOpen | cherviltide.PacketAck) {
		if !f.answered {
			phase, took = PhaseOpening, x.Now-f.began
		}
		f.targetSequence, f.answered = p.Sequence, true
	}
	if p.Length > 0 && f.requested != 0 {
		phase, took = PhaseWork, x.Now-f.requested
		c.load.sample(took)
		f.requested = 0
	}
	if p.Length > 0 {
		f.resting = true
		if p.Length < c.limits.MaxPayload {
			c.idle(f)
		}
	}
	if p.Has(cherviltide.PacketFinish) {
		f.targetFinish = true
		c.idle(f)
	}
	if p.Has(cherviltide.PacketReset) {
		c.idle(f)
		f.ended = x.Now
	}
	if f.targetFinish && f.callerFinished && f.ended == 0 {
		f.ended = x.Now
	}
	return phase, took
}

// returned decides about a packet that the target does not take.
func (c *Core) returned(x Context, p cherviltide.Packet) Step {
	key := cherviltide.FlowKey{Caller: p.Source, Virtual: p.Destination}
	f := c.flows[key]
	a, ok := c.tokens.take(p.Token, key)
	a.Packet = p
	a.Packet.Flags &^= cherviltide.PacketReturned
	if !ok {
		if f != nil && !p.OpensFlow() {
			c.forget(key, f)
			return Step{Reason: ReasonGone}
		}
		return Step{Reason: ReasonForged}
	}
	var step Step
	if p.OpensFlow() {
		if f != nil {
			c.forget(key, f)
		}
		c.fullUntil = x.Now + fullPause
		step = c.refused(x, a)
	} else {
		c.notes.deny(key, x.Now)
		step = c.search(x, a)
	}
	step.Restore = true
	return step
}

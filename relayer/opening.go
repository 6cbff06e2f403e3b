package relayer

import (
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// The position in the header of an offer has the number of the offer, how many flows wait for a slot at the offering agent,
// and whether that agent cannot serve the flow itself.
const (
	turnMask   = 3
	queueShift = 2
	maxQueue   = 31
	must       = 128
)

// offerPosition returns the position of an offer.
func (c *Core) offerPosition(x Context, turn int) uint8 {
	position := uint8(turn&turnMask) | uint8(min(c.queue(), maxQueue))<<queueShift
	if !c.able(x.Now) {
		position |= must
	}
	return position
}

// offeredQueue returns how many flows wait for a slot at the agent that offers.
func offeredQueue(position uint8) int {
	return int(position&^must) >> queueShift
}

// opening decides about a packet that opens a flow.
func (c *Core) opening(x Context, a Arrival) Step {
	key := a.Header.Flow
	f := c.flows[key]
	if f != nil && !f.learnt && f.callerSequence == a.Packet.Sequence && (f.answered || !c.silent(x.Now)) {
		f.last = x.Now
		return c.deliverOpening(x, a)
	}
	if f != nil {
		// The caller uses the port again, or the target did not answer.
		c.forget(key, f)
	}
	n := c.notes.get(key, x.Now)
	switch a.Header.Flags {
	case framer.FlagProbe:
		if n.kind == noteOffered && a.Header.Position != direct && n.to != a.Sender {
			return c.pass(x, a, n.to, framer.FlagProbe, direct, ReasonProbed)
		}
		return c.back(a, framer.FlagReturned, ReasonNotHeld)
	case framer.FlagOffered:
		return c.offered(x, a)
	case framer.FlagDeclined:
		return c.declined(x, a)
	case framer.FlagReturned:
		return c.search(x, a)
	}
	if a.Packet.Copy > 0 {
		if n.kind == noteHeld && n.to != a.Sender {
			return c.pass(x, a, n.to, framer.FlagOffered, c.offerPosition(x, n.turn), ReasonOffered)
		}
		if n.kind == noteOffered {
			// The agent that was offered the first packet would have told that it took it.
			return c.place(x, a, n.turn+1)
		}
		if x.Now-c.changed < settleTime {
			return c.walk(x, a, 0)
		}
	}
	return c.place(x, a, 0)
}

// place opens a new flow here or offers it to another agent. turn numbers the next offer.
func (c *Core) place(x Context, a Arrival, turn int) Step {
	if step, ok := c.outdated(x, a); ok {
		return step
	}
	owner, ok := x.Table.Pick(a.Header.Flow)
	if ok && !isSelf(x, owner) && a.Header.Flags == 0 && a.Header.Hops == 0 && !c.peers.IsUnresponsive(owner.Address, x.Now) {
		return c.pass(x, a, owner.Address, 0, 0, ReasonNotOwner)
	}
	able := c.able(x.Now)
	if able && (c.free() || turn >= maxOffers) {
		return c.open(x, a)
	}
	c.chain = c.appendSpares(c.chain[:0], 0, x, a.Header.Flow)
	if turn < len(c.chain) {
		return c.offer(x, a, c.chain[turn].Address, turn)
	}
	if able || (c.target.LastResort && !c.silent(x.Now) && x.Now >= c.fullUntil) {
		return c.open(x, a)
	}
	c.notes.forget(a.Header.Flow)
	return Step{Action: ActionRefuse, Reason: ReasonUnavailable}
}

// outdated returns the step for a new flow that the rules do not send here. The newer rules of the entry and this agent
// decide; some time after a flow was opened here by a change that is newer than both, neither may.
func (c *Core) outdated(x Context, a Arrival) (Step, bool) {
	switch {
	case x.Revision >= a.Header.Revision && !x.Rules.AcceptsNewFlows(a.Header.Flow.Virtual):
		return Step{Reason: ReasonNoRoute}, true
	case max(x.Revision, a.Header.Revision) < c.revision && x.Now-c.revisedAt > c.limits.OldRulesGrace:
		return Step{Reason: ReasonOldRules}, true
	}
	return Step{}, false
}

// able reports whether the target takes new flows at all.
func (c *Core) able(now cherviltide.Millis) bool {
	return c.target.AcceptsNewFlows && !c.silent(now) && now >= c.fullUntil
}

// silent reports whether the target leaves packets unanswered.
func (c *Core) silent(now cherviltide.Millis) bool {
	return c.waiting != 0 && now-c.waiting > silentAfter
}

// free reports whether a new flow would find a free slot.
func (c *Core) free() bool {
	return c.load.active < c.target.Slots
}

// queue returns how many flows wait for a slot, the next one included.
func (c *Core) queue() int {
	return max(c.load.active+1-c.target.Slots, 0)
}

// open delivers a packet that opens a flow.
func (c *Core) open(x Context, a Arrival) Step {
	opened, ok := x.Table.OpeningGeneration(a.Header.Flow, x.Self)
	if !ok || opened < c.declared {
		opened = x.Table.Generation()
	}
	changed := a.Header.RouteRevision
	if x.Revision >= a.Header.Revision {
		changed = x.Rules.RouteRevision(a.Header.Flow.Virtual)
	}
	if changed > c.revision {
		c.revision, c.revisedAt = changed, x.Now
	}
	c.flows[a.Header.Flow] = &flow{
		callerSequence: a.Packet.Sequence, opened: opened, began: x.Now, last: x.Now, busy: true,
	}
	c.load.active++
	step := c.deliverOpening(x, a)
	step.Reason = ReasonOpened
	if a.Header.Flags == framer.FlagOffered {
		step.Notify = a.Sender
	}
	return step
}

func (c *Core) deliverOpening(x Context, a Arrival) Step {
	if c.waiting == 0 {
		c.waiting = x.Now
	}
	return Step{Action: ActionDeliver, Reason: ReasonHeld, Token: c.tokens.issue(a)}
}

// appendSpares appends the agents that a new flow may be offered to and that are not in list from known on: the second of
// its bucket, then others in an order that differs between flows, so that they share what an owner cannot take.
func (c *Core) appendSpares(list []cherviltide.Member, known int, x Context, flow cherviltide.FlowKey) []cherviltide.Member {
	spares := 0
	add := func(m cherviltide.Member) {
		if spares == maxOffers || isSelf(x, m) {
			return
		}
		spares++
		for _, k := range list {
			if k.Name == m.Name {
				return
			}
		}
		list = append(list, m)
	}
	second, ok := x.Table.Secondary(flow)
	if ok {
		add(second)
	}
	c.active = x.Table.AppendActive(c.active[:0])
	start := flow.Hash() >> 16
	for i := range c.active {
		m := c.active[(uint64(i)+start)%uint64(len(c.active))]
		if ok && m.Name == second.Name {
			continue
		}
		if known == 0 && c.peers.IsUnresponsive(m.Address, x.Now) {
			continue
		}
		add(m)
	}
	return list
}

// offer passes a new flow to another agent and notes it, so that copies go there too.
func (c *Core) offer(x Context, a Arrival, to netip.AddrPort, turn int) Step {
	c.notes.set(a.Header.Flow, note{kind: noteOffered, to: to, turn: turn}, x.Now)
	c.peers.RecordProbe(to, x.Now)
	return c.pass(x, a, to, framer.FlagOffered, c.offerPosition(x, turn), ReasonOffered)
}

// offered accepts or declines a new flow that its owner offers. An owner that can serve the flow itself only looks for a
// queue that is shorter by more than the flow itself.
func (c *Core) offered(x Context, a Arrival) Step {
	if step, ok := c.outdated(x, a); ok {
		return step
	}
	shorter := c.queue() < offeredQueue(a.Header.Position)-1
	if c.able(x.Now) && (c.free() || shorter || a.Header.Position&must != 0) {
		return c.open(x, a)
	}
	return c.back(a, framer.FlagDeclined, ReasonDeclined)
}

// declined goes on with the next agent.
func (c *Core) declined(x Context, a Arrival) Step {
	return c.place(x, a, int(a.Header.Position&turnMask)+1)
}

// refused goes on with a new flow that the target has returned.
func (c *Core) refused(x Context, a Arrival) Step {
	switch a.Header.Flags {
	case framer.FlagOffered:
		return c.back(a, framer.FlagDeclined, ReasonDeclined)
	case framer.FlagDeclined:
		return c.place(x, a, maxOffers)
	}
	return c.place(x, a, 0)
}

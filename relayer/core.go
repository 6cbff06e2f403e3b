// Package relayer is the data path of an agent for flows that it relays to its target without terminating them.
//
// The agent is the only way to its target and sees every packet in both directions, so it knows which flows the target
// holds. It passes packets of other flows on to the agent that holds them; its target does not see them. An agent that is
// younger than a flow may be asks its target, which returns packets of flows that it does not hold.
package relayer

import (
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/detector"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/picker"
)

// Times of the decisions.
const (
	// linger is how long a flow that has ended is remembered, so that its last packets still reach the target. It covers
	// the sender's repetitions of its last packet.
	linger cherviltide.Millis = 4_000
	// openLimit is how long a flow may stay unanswered by the target; callers give up before.
	openLimit cherviltide.Millis = 2_000
	// askLimit is how long an opened flow counts as work of the target without a request. Callers send one at once; those
	// that have given up send none.
	askLimit cherviltide.Millis = 500
	// restLimit is how long a flow still counts as work after the target's last packet, when that one was full and may have
	// been the last of its answer. Senders repeat lost packets sooner.
	restLimit cherviltide.Millis = 250
	// silentAfter is how long the target, on the same machine, may leave all packets unanswered before new flows go
	// elsewhere. It is shorter than the time to the caller's first copy.
	silentAfter cherviltide.Millis = 120
	// fullPause is how long new flows go elsewhere after the target has returned one.
	fullPause cherviltide.Millis = 30
	// settleTime is how long after a change of the table a copy of an opening packet may belong to a flow that another
	// agent has been offered. It covers the caller's last copy and the spread of the table.
	settleTime cherviltide.Millis = 2_000
	// defaultIdle is how long a flow without packets is remembered when the rules do not say.
	defaultIdle cherviltide.Millis = 60_000
)

const (
	// maxHops bounds how often agents pass on one packet.
	maxHops = 60
	// maxOffers bounds the agents that a new flow is offered to, beside the owner.
	maxOffers = 3
	// direct is the position of a probe that a note caused and not the walk over the chain.
	direct = 255
)

// Limits describe the target and the network.
type Limits struct {
	// MaxFlowAge is how long a flow may last at most.
	MaxFlowAge cherviltide.Millis
	// MaxPayload is the most that a packet carries, in bytes. A shorter packet of the target ends an answer.
	MaxPayload int
	// OldRulesGrace is how long new flows are still opened with rules older than some that were used here.
	OldRulesGrace cherviltide.Millis
}

// Target is what the target says of itself.
type Target struct {
	// Slots is how many requests it runs at once; 0 when it has not said anything.
	Slots int
	// AcceptsNewFlows is true while it takes new flows; LastResort while it takes those that no other agent takes.
	AcceptsNewFlows, LastResort bool
	// PredatesAgent is true when it started before this agent, so that it may hold flows that the agent does not know.
	PredatesAgent bool
}

// Rules tell where the rules of a process send new flows.
type Rules interface {
	// AcceptsNewFlows reports whether new flows of a virtual address may go to this agent's service.
	AcceptsNewFlows(virtual netip.AddrPort) bool
	// RouteRevision returns since which revision new flows of a virtual address go to the same services.
	RouteRevision(virtual netip.AddrPort) uint64
}

// Context is the state of the system that a decision is made with.
type Context struct {
	Now cherviltide.Millis
	// Self is this agent as it announces itself.
	Self  cherviltide.Member
	Table *picker.Table
	// Rules are those of this process, Revision is theirs.
	Rules    Rules
	Revision uint64
	// Idle is how long a flow may be silent before it may be forgotten; 0 means the default.
	Idle cherviltide.Millis
}

// idle returns how long a flow may be silent.
func (x Context) idle() cherviltide.Millis {
	if x.Idle <= 0 {
		return defaultIdle
	}
	return x.Idle
}

// Core decides about the packets of one agent. It has no socket, goroutine or clock. One goroutine uses it at a time.
type Core struct {
	limits Limits
	// started is the time of the first call; flows may be older than the agent until MaxFlowAge after it.
	started cherviltide.Millis
	target  Target
	flows   map[cherviltide.FlowKey]*flow
	notes   notes
	tokens  tokens
	load    load
	peers   *detector.Detector
	// waiting is when the first opening packet was delivered that the target has not followed by a packet; 0 when none is.
	waiting cherviltide.Millis
	// fullUntil is until when new flows go elsewhere because the target returned one.
	fullUntil cherviltide.Millis
	// generation is that of the last table, changed when it was first seen.
	generation uint64
	changed    cherviltide.Millis
	// revision is the newest change of a route's services that a flow was opened after here, revisedAt is since when.
	revision  uint64
	revisedAt cherviltide.Millis
	// declared is the highest generation before which the agent has said that it holds no flow.
	declared uint64
	chain    []cherviltide.Member
	active   []cherviltide.Member
}

// NewCore returns the decisions of an agent that starts now.
func NewCore(limits Limits, now cherviltide.Millis) *Core {
	return &Core{
		limits: limits, started: now, target: Target{PredatesAgent: true}, flows: map[cherviltide.FlowKey]*flow{}, notes: newNotes(), peers: detector.New(),
	}
}

// SetTarget takes what the target says of itself. A new target holds none of the flows of the one before.
func (c *Core) SetTarget(t Target, fresh bool) {
	if fresh {
		clear(c.flows)
		c.load = load{}
	}
	c.target = t
	c.waiting = 0
}

// Active returns the number of flows that the target works on.
func (c *Core) Active() int { return c.load.active }

// Flows returns the number of flows that the agent remembers.
func (c *Core) Flows() int { return len(c.flows) }

// WorkMs returns the smoothed time that the target takes for a request, in milliseconds; 0 when it is not known.
func (c *Core) WorkMs() float64 { return c.load.work }

// observe notes a change of the table.
func (c *Core) observe(x Context) {
	c.notes.life = x.idle()
	if g := x.Table.Generation(); g != c.generation {
		c.generation, c.changed = g, x.Now
	}
}

// FromPeer decides about a packet of a caller that an entry or another agent sent.
func (c *Core) FromPeer(x Context, a Arrival) Step {
	step := c.fromPeer(x, a)
	step.Active, step.Slots = c.load.active, c.target.Slots
	return step
}

func (c *Core) fromPeer(x Context, a Arrival) Step {
	c.observe(x)
	if a.Header.Flags != 0 {
		c.peers.MarkAlive(a.Sender)
	}
	if a.Header.Flags == framer.FlagHolderNotice {
		c.notes.set(a.Header.Flow, note{kind: noteHeld, to: a.Sender}, x.Now)
		return Step{Reason: ReasonNotice}
	}
	if a.Header.Hops > maxHops {
		return Step{Reason: ReasonHops}
	}
	if a.Packet.Has(cherviltide.PacketOpen | cherviltide.PacketAck) {
		return Step{Reason: ReasonForged}
	}
	if a.Packet.OpensFlow() {
		return c.opening(x, a)
	}
	return c.later(x, a)
}

// later decides about a packet that does not open a flow.
func (c *Core) later(x Context, a Arrival) Step {
	key := a.Header.Flow
	f := c.flows[key]
	if f != nil && f.mismatch(a.Packet) {
		c.forget(key, f)
		f = nil
	}
	if f != nil {
		c.fromCaller(x, f, a.Packet)
		step := Step{Action: ActionDeliver, Reason: ReasonHeld}
		if a.Header.Flags == framer.FlagProbe && a.Header.Position != direct {
			step.Notify = a.Sender
		}
		return step
	}
	if n := c.notes.get(key, x.Now); c.unsure(x.Now) && !n.denied && n.kind == noteNone {
		return Step{Action: ActionDeliver, Reason: ReasonUnsure, Token: c.tokens.issue(a)}
	}
	return c.search(x, a)
}

// unsure reports whether the target may hold flows that the agent does not know.
func (c *Core) unsure(now cherviltide.Millis) bool {
	return now-c.started < c.limits.MaxFlowAge && c.target.PredatesAgent
}

// fromCaller notes a packet of a held flow in the direction of the target.
func (c *Core) fromCaller(x Context, f *flow, p cherviltide.Packet) {
	f.last = x.Now
	if f.answered && p.Has(cherviltide.PacketAck) {
		f.open = true
	}
	if p.Length > 0 && !f.targetFinish && (!f.asked || int32(p.Sequence-f.callerNext) >= 0) {
		c.request(x, f)
		f.callerNext = p.Sequence + uint32(p.Length)
	}
	if p.Has(cherviltide.PacketFinish) {
		f.callerFinished = true
	}
	if p.Has(cherviltide.PacketReset) {
		c.idle(f)
		f.ended = x.Now
	}
}

// request notes a request, or a further part of one.
func (c *Core) request(x Context, f *flow) {
	if !f.busy {
		f.busy = true
		c.load.active++
	}
	if (!f.asked || f.resting) && c.load.active <= c.target.Slots {
		f.requested = x.Now
	}
	f.asked, f.resting = true, false
}

// idle takes a flow out of the target's work.
func (c *Core) idle(f *flow) {
	if f.busy {
		f.busy = false
		c.load.active--
	}
}

func (c *Core) forget(key cherviltide.FlowKey, f *flow) {
	c.idle(f)
	delete(c.flows, key)
}

// Expire forgets flows that have ended, and those that were silent or open for too long.
func (c *Core) Expire(x Context) {
	for key, f := range c.flows {
		if (!f.asked && x.Now-f.began > askLimit) || (f.resting && x.Now-f.last > restLimit) {
			c.idle(f)
		}
		switch {
		case f.ended != 0 && x.Now-f.ended > linger,
			!f.answered && x.Now-f.began > openLimit,
			x.Now-f.last > x.idle(),
			x.Now-f.began > c.limits.MaxFlowAge+linger:
			c.forget(key, f)
		}
	}
	c.notes.expire(x.Now)
}

// Oldest returns the lowest generation at which a remembered flow was opened, or the given one when there is none. The
// agent opens no flow at a lower generation afterwards. While the target may hold flows that the agent does not know, no
// generation is sure.
func (c *Core) Oldest(now cherviltide.Millis, generation uint64) uint64 {
	if c.unsure(now) {
		return 0
	}
	for _, f := range c.flows {
		generation = min(generation, f.opened)
	}
	c.declared = max(c.declared, generation)
	return generation
}

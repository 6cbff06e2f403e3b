package relayer

import (
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// search passes a packet of a flow that this agent does not hold to the next agent that may.
func (c *Core) search(x Context, a Arrival) Step {
	key := a.Header.Flow
	n := c.notes.get(key, x.Now)
	elsewhere := (n.kind == noteHeld || n.kind == noteOffered) && n.to != a.Sender
	switch {
	case a.Header.Flags == framer.FlagProbe && elsewhere && a.Header.Position != direct:
		return c.pass(x, a, n.to, framer.FlagProbe, direct, ReasonProbed)
	case a.Header.Flags == framer.FlagProbe:
		return c.back(a, framer.FlagReturned, ReasonNotHeld)
	case a.Header.Flags == framer.FlagReturned && a.Header.Position == direct:
		c.notes.forget(key)
		return c.walk(x, a, 0)
	case a.Header.Flags == framer.FlagReturned && a.Header.Generation == x.Table.Generation():
		return c.walk(x, a, int(a.Header.Position)+1)
	case elsewhere && a.Header.Flags == 0:
		return c.pass(x, a, n.to, framer.FlagProbe, direct, ReasonProbed)
	}
	return c.walk(x, a, 0)
}

// walk asks the next agent of the flow's chain, then those that the flow may have been offered to. After the last one the
// entry may try another service.
func (c *Core) walk(x Context, a Arrival, next int) Step {
	c.chain = x.Table.AppendCandidates(c.chain[:0], a.Header.Flow)
	c.chain = c.appendSpares(c.chain, len(c.chain), x, a.Header.Flow)
	c.chain = c.chain[:min(len(c.chain), direct)]
	for ; next < len(c.chain); next++ {
		if !isSelf(x, c.chain[next]) && !c.peers.IsUnresponsive(c.chain[next].Address, x.Now) {
			return c.probe(x, a, next)
		}
	}
	if a.Packet.OpensFlow() {
		return c.place(x, a, 0)
	}
	// Nobody else holds the flow, and a silent candidate may answer again.
	for i, m := range c.chain {
		if !isSelf(x, m) && c.peers.IsUnresponsive(m.Address, x.Now) {
			return c.probe(x, a, i)
		}
	}
	if a.Header.ServiceIndex+1 < a.Header.ServiceCount {
		h := a.Header
		h.Flags, h.Position = framer.FlagReturned, 0
		h.Hops++
		return Step{Action: ActionPass, Reason: ReasonStage, To: a.Header.Entry, Header: h}
	}
	return Step{Reason: ReasonNoHolder}
}

// probe asks the candidate at a position of the chain whether it holds the flow.
func (c *Core) probe(x Context, a Arrival, position int) Step {
	to := c.chain[position].Address
	c.peers.RecordProbe(to, x.Now)
	return c.pass(x, a, to, framer.FlagProbe, uint8(position), ReasonProbed)
}

// isSelf compares members by address instead of incarnation, which changes when control has expelled the process.
func isSelf(x Context, m cherviltide.Member) bool {
	return m.Name == x.Self.Name && m.Address == x.Self.Address
}

// pass sends a packet to another agent under this agent's table.
func (c *Core) pass(x Context, a Arrival, to netip.AddrPort, flags framer.Flags, position uint8, reason Reason) Step {
	h := a.Header
	h.Flags, h.Position, h.Generation = flags, position, x.Table.Generation()
	h.Hops++
	return Step{Action: ActionPass, Reason: reason, To: to, Header: h}
}

// back returns a packet to its sender with the sender's own position and generation.
func (c *Core) back(a Arrival, flags framer.Flags, reason Reason) Step {
	h := a.Header
	h.Flags = flags
	h.Hops++
	return Step{Action: ActionPass, Reason: reason, To: a.Sender, Header: h}
}

package holder

import (
	"errors"
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/picker"
)

// arrival is a received datagram with the state that is needed to carry out the decision about it.
type arrival struct {
	datagram []byte
	payload  []byte
	header   framer.Header
	sender   netip.AddrPort
	table    *picker.Table
	flow     *flow
	now      cherviltide.Millis
}

// handle decides about one datagram. It returns the flow and the payload if the datagram is delivered to the agent's QUIC
// transport.
func (h *Holder) handle(view *follower.View, datagram []byte, sender netip.AddrPort) (*flow, []byte) {
	a := arrival{datagram: datagram, sender: sender, now: h.config.Clock.Now()}
	var err error
	a.header, a.payload, err = h.config.Framer.Decode(datagram)
	if errors.Is(err, framer.ErrHops) {
		h.Counters.HopLimit.Add(1)
		return nil, nil
	}
	if err != nil || a.header.Type != framer.TypeForward {
		h.Counters.Malformed.Add(1)
		return nil, nil
	}
	var ok bool
	a.table, ok = view.Tables[h.config.Self.Service]
	if !ok || a.header.Service != a.table.Service().ID {
		h.Counters.WrongService.Add(1)
		return nil, nil
	}
	if a.header.Flags != 0 {
		h.detector.MarkAlive(sender)
	}
	a.flow = h.flows.get(a.header.Flow)
	decision := h.decide(h.decisionInput(a), a.payload)
	if decision.Action == ActionReset && !h.pendingResets.isDue(a.header.Flow, a.now) {
		decision = Decision{Action: ActionDrop}
	}
	return h.execute(a, decision)
}

// decisionInput collects the input of the decision about a datagram.
func (h *Holder) decisionInput(a arrival) DecisionInput {
	in := DecisionInput{
		Self:   h.config.Self,
		Table:  a.table,
		Header: a.header,
		Sender: a.sender,
		Held:   a.flow != nil,
	}
	in.CanOpen = isInitial(a.payload)
	if in.Held && !h.refusesConnection(in) {
		return in
	}
	in.Remote = h.remoteFlows.get(a.header.Flow, a.now)
	in.ReleasedGeneration = h.flows.releasedGeneration()
	in.Full = h.flows.len() >= a.table.Service().Connections
	in.Busy = h.config.Busy()
	in.Unresponsive = func(to netip.AddrPort) bool { return h.detector.IsUnresponsive(to, a.now) }
	return in
}

// execute carries out a decision. It returns the flow and the payload of a datagram that is delivered here.
func (h *Holder) execute(a arrival, decision Decision) (*flow, []byte) {
	if decision.ForgetRemote {
		h.remoteFlows.remove(a.header.Flow)
	}
	if decision.Remote.State != RemoteNone {
		h.remoteFlows.set(a.header.Flow, decision.Remote, a.now)
	}
	h.Counters.count(decision)
	switch decision.Action {
	case ActionOpen:
		if a.flow = h.flows.open(a.header.Flow, decision.OpeningGeneration); a.flow == nil {
			return nil, nil
		}
	case ActionForward:
		if decision.Flags == framer.FlagProbe && decision.Position > 0 {
			h.detector.RecordProbe(decision.To, a.now)
		}
		if decision.Notify {
			h.notify(a)
		}
		h.send(a, decision, a.table.Generation(), decision.To)
		return nil, nil
	case ActionReturn:
		h.send(a, decision, a.header.Generation, a.sender)
		return nil, nil
	case ActionRefuse:
		// The transport answers a first packet with CONNECTION_REFUSED, so that the caller does not wait for a timeout.
		if !isInitial(a.payload) {
			return nil, nil
		}
		a.flow = newFlow(a.header.Flow, 0)
		a.flow.refused = true
	case ActionReset:
		// The flow is not held: the caller opens another connection after the reset.
		a.flow = newFlow(a.header.Flow, 0)
	case ActionDeliver:
	default:
		return nil, nil
	}
	if decision.Notify {
		h.notify(a)
	}
	a.flow.recordDatagram(&h.entries, a.header.Entry, a.now)
	return a.flow, a.payload
}

// send forwards or returns a datagram with a changed header, which is encoded in place before the payload.
func (h *Holder) send(a arrival, decision Decision, generation uint64, to netip.AddrPort) {
	if a.header.Hops >= framer.MaxHops {
		h.Counters.HopLimit.Add(1)
		return
	}
	header := a.header
	header.Hops++
	header.Flags = decision.Flags
	header.Position = decision.Position
	header.Generation = generation
	h.config.Framer.Encode(a.datagram, header, len(a.payload))
	_, _ = h.conn.WriteToUDPAddrPort(a.datagram, to)
}

// notify sends a holder notice to the sender of a probe, which then probes this agent first.
func (h *Holder) notify(a arrival) {
	header := a.header
	header.Flags = framer.FlagHolderNotice
	header.Position = 0
	var notice [framer.HeaderSize]byte
	h.config.Framer.Encode(notice[:], header, 0)
	_, _ = h.conn.WriteToUDPAddrPort(notice[:], a.sender)
}

// count increments the counters of a decision.
func (c *Counters) count(decision Decision) {
	switch decision.Action {
	case ActionDrop:
		c.NoHolder.Add(1)
	case ActionDeliver:
		c.Delivered.Add(1)
	case ActionOpen:
		c.Opened.Add(1)
	case ActionForward:
		c.Passed.Add(1)
	case ActionReturn:
		c.Returned.Add(1)
	case ActionConsume:
		c.Notices.Add(1)
	case ActionRefuse:
		c.Full.Add(1)
	case ActionReset:
		c.Reset.Add(1)
	}
	switch decision.Flags {
	case framer.FlagOffered:
		c.Offered.Add(1)
	case framer.FlagDeclined:
		c.Declined.Add(1)
	case framer.FlagStaleTable:
		c.Behind.Add(1)
	}
}

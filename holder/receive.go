package holder

import (
	"errors"
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/picker"
)

// arrival is a datagram with what the holder needs to carry out the decision about it.
type arrival struct {
	datagram []byte
	payload  []byte
	header   framer.Header
	sender   netip.AddrPort
	table    *picker.Table
	flow     *flow
	now      cherviltide.Millis
}

// handle decides about one datagram and returns the flow and the payload when it is to be delivered here.
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
		h.silence.MarkAlive(sender)
	}
	a.flow = h.flows.get(a.header.Flow)
	return h.act(a, h.decide(h.situation(a), a.payload))
}

// situation collects what the decision needs.
func (h *Holder) situation(a arrival) DecisionInput {
	s := DecisionInput{
		Self:   h.config.Self,
		Table:  a.table,
		Header: a.header,
		Sender: a.sender,
		Held:   a.flow != nil,
	}
	s.CanOpen = opening(a.payload)
	if s.Held && !h.refuses(s) {
		return s
	}
	s.Remote = h.notes.get(a.header.Flow, a.now)
	s.Declared = h.flows.lastDeclared()
	s.Full = h.flows.len() >= a.table.Service().Connections
	s.Busy = h.config.Busy()
	s.Unresponsive = func(to netip.AddrPort) bool { return h.silence.IsUnresponsive(to, a.now) }
	return s
}

// act carries out a decision.
func (h *Holder) act(a arrival, step Decision) (*flow, []byte) {
	if step.ForgetRemote {
		h.notes.forget(a.header.Flow)
	}
	if step.Remote.Kind != RemoteNone {
		h.notes.set(a.header.Flow, step.Remote, a.now)
	}
	h.Counters.count(step)
	switch step.Action {
	case ActionOpen:
		if a.flow = h.flows.open(a.header.Flow, step.Opened); a.flow == nil {
			return nil, nil
		}
	case ActionForward:
		if step.Flags == framer.FlagProbe && step.Position > 0 {
			h.silence.RecordProbe(step.To, a.now)
		}
		if step.Notify {
			h.notify(a)
		}
		h.send(a, step, a.table.Generation(), step.To)
		return nil, nil
	case ActionReturn:
		h.send(a, step, a.header.Generation, a.sender)
		return nil, nil
	case ActionRefuse:
		// The transport answers a first packet with CONNECTION_REFUSED, so that the caller need not wait for a timeout.
		if !opening(a.payload) {
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
	if step.Notify {
		h.notify(a)
	}
	a.flow.seen(&h.entries, a.header.Entry, a.now)
	return a.flow, a.payload
}

// send passes a datagram on with a changed header. The payload stays where it is.
func (h *Holder) send(a arrival, step Decision, generation uint64, to netip.AddrPort) {
	if a.header.Hops >= framer.MaxHops {
		h.Counters.HopLimit.Add(1)
		return
	}
	header := a.header
	header.Hops++
	header.Flags = step.Flags
	header.Position = step.Position
	header.Generation = generation
	h.config.Framer.Encode(a.datagram, header, len(a.payload))
	_, _ = h.conn.WriteToUDPAddrPort(a.datagram, to)
}

// notify tells the sender of a probe that this agent holds the flow.
func (h *Holder) notify(a arrival) {
	header := a.header
	header.Flags = framer.FlagHolderNotice
	header.Position = 0
	var notice [framer.HeaderSize]byte
	h.config.Framer.Encode(notice[:], header, 0)
	_, _ = h.conn.WriteToUDPAddrPort(notice[:], a.sender)
}

// count counts a decision.
func (c *Counters) count(step Decision) {
	switch step.Action {
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
	case ActionAbsorb:
		c.Notices.Add(1)
	case ActionRefuse:
		c.Full.Add(1)
	case ActionReset:
		c.Reset.Add(1)
	}
	switch step.Flags {
	case framer.FlagOffered:
		c.Offered.Add(1)
	case framer.FlagDeclined:
		c.Declined.Add(1)
	case framer.FlagStaleTable:
		c.Behind.Add(1)
	}
}

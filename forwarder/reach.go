package forwarder

import (
	"net/netip"
	"slices"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/pinger"
)

// newPinger returns the pinger of the entry, which sends from the socket for agents.
func (r *Relay) newPinger() *pinger.Pinger {
	return pinger.New(pinger.Config{
		FailureDomain: r.config.FailureDomain, Self: r.config.Internal, Limits: pinger.EntryLimits, View: r.config.View, Log: r.config.Log,
		Send: func(b []byte, to netip.AddrPort) {
			if _, err := r.internal.WriteToUDPAddrPort(b, to); err != nil {
				r.config.Log.Debug("SendFailed", zap.Stringer("To", to), zap.Error(err))
			}
		},
	})
}

// avoidClosed replaces the owner of a flow in a closed failure domain by the agent that takes its new flows meanwhile.
func (r *Relay) avoidClosed(next relayHop, flow cherviltide.FlowKey) relayHop {
	r.Reach.MarkTraffic()
	closed := r.Reach.Closed()
	if len(closed) == 0 || !slices.Contains(closed, next.agent.FailureDomain) {
		return next
	}
	if agent, ok := next.table.PickOpen(flow, closed); ok && agent.Address != next.agent.Address {
		next.closedOwner, next.agent = next.agent.Address, agent
	}
	return next
}

// sendTo encodes the header and queues the datagram, which may wait for the link. A later packet of a flow whose owner is in a
// closed domain goes to the owner too, unless packets wait for the link: the owner may hold the flow and be cut off in the other
// direction only, and the datagram may arrive.
func (r *Relay) sendTo(view *follower.View, route *follower.RouteTables, datagram []byte, header framer.Header, next relayHop, opensFlow bool, out *sender) {
	if next.closedOwner.IsValid() {
		header.Position = framer.PositionOwnerClosed
	}
	packet := datagram[framer.HeaderSize:]
	datagram = r.encode(view, datagram, header, opensFlow)
	if next.closedOwner.IsValid() && !opensFlow && (r.link == nil || r.link.hasRoom(len(datagram))) {
		r.enqueue(out, datagram, next.closedOwner)
	}
	if r.link == nil || r.link.depart(route, header.Flow, datagram, packet, next.agent.Address) {
		r.enqueue(out, datagram, next.agent.Address)
	}
}

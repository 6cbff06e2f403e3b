package forwarder

import (
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
)

// maxDatagram is the largest UDP payload over IPv4, in bytes.
const maxDatagram = 65507

// nextHop is the agent that gets a caller's datagram, and the header to send with it.
type nextHop struct {
	header framer.Header
	agent  netip.AddrPort
}

// decideNextHop returns where to send a caller's datagram of n bytes, or the reason to drop it. It does not allocate.
func decideNextHop(view *follower.View, internal netip.AddrPort, key cherviltide.FlowKey, n int) (nextHop, Reason, bool) {
	table, ok := view.ByAddress[key.Virtual]
	if !ok {
		return nextHop{}, ReasonNoService, false
	}
	if n == 0 {
		return nextHop{}, ReasonEmpty, false
	}
	if framer.HeaderSize+n > maxDatagram {
		return nextHop{}, ReasonTooLong, false
	}
	if _, virtual := view.ByAddress[key.Caller]; virtual || key.Caller == internal || key.Caller.Port() == 0 {
		return nextHop{}, ReasonLooped, false
	}
	agent, ok := table.Pick(key)
	if !ok {
		return nextHop{}, ReasonNoTarget, false
	}
	if !agent.Address.Addr().Is4() {
		return nextHop{}, ReasonAddress, false
	}
	header := framer.Header{
		Type:       framer.TypeForward,
		Service:    table.Service().ID,
		Generation: table.Generation(),
		Flow:       key,
		Entry:      internal,
	}
	return nextHop{header: header, agent: agent.Address}, 0, true
}

// acceptReply decodes and checks an agent's datagram. It returns the header and the payload of a reply, or the reason
// to drop it.
func acceptReply(view *follower.View, f framer.Framer, datagram []byte) (framer.Header, []byte, Reason, bool) {
	h, payload, err := f.Decode(datagram)
	if err != nil {
		return h, nil, reasonForDecodeError(err), false
	}
	if h.Type != framer.TypeReply {
		return h, nil, ReasonType, false
	}
	table, ok := view.ByAddress[h.Flow.Virtual]
	if !ok {
		return h, nil, ReasonNoService, false
	}
	if table.Service().ID != h.Service {
		return h, nil, ReasonWrongService, false
	}
	if !h.Flow.Caller.Addr().Is4() || !h.Flow.Virtual.Addr().Is4() {
		return h, nil, ReasonAddress, false
	}
	if len(payload) == 0 {
		return h, nil, ReasonEmpty, false
	}
	return h, payload, 0, true
}

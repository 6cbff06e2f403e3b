package forwarder

import (
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
)

// maxDatagram is the largest UDP payload over IPv4, in bytes.
const maxDatagram = 65507

// route is where a caller's datagram goes.
type route struct {
	header framer.Header
	agent  netip.AddrPort
}

// decide returns the route of a caller's datagram of n bytes, or the reason to drop it. It does not allocate.
func decide(view *follower.View, internal netip.AddrPort, key cherviltide.FlowKey, n int) (route, Reason, bool) {
	table, ok := view.ByAddress[key.Virtual]
	if !ok {
		return route{}, NoService, false
	}
	if n == 0 {
		return route{}, Empty, false
	}
	if framer.HeaderSize+n > maxDatagram {
		return route{}, TooLong, false
	}
	if _, virtual := view.ByAddress[key.Caller]; virtual || key.Caller == internal || key.Caller.Port() == 0 {
		return route{}, Looped, false
	}
	agent, ok := table.Pick(key)
	if !ok {
		return route{}, NoTarget, false
	}
	if !agent.Address.Addr().Is4() {
		return route{}, Address, false
	}
	header := framer.Header{
		Type:       framer.TypeForward,
		Service:    table.Service().ID,
		Generation: table.Generation(),
		Flow:       key,
		Entry:      internal,
	}
	return route{header: header, agent: agent.Address}, 0, true
}

// accept checks an agent's datagram. It returns the header and the payload of a reply, or the reason to drop it.
func accept(view *follower.View, f framer.Framer, datagram []byte) (framer.Header, []byte, Reason, bool) {
	h, payload, err := f.Decode(datagram)
	if err != nil {
		return h, nil, reasonOf(err), false
	}
	if h.Type != framer.TypeReply {
		return h, nil, Type, false
	}
	table, ok := view.ByAddress[h.Flow.Virtual]
	if !ok {
		return h, nil, NoService, false
	}
	if table.Service().ID != h.Service {
		return h, nil, WrongService, false
	}
	if !h.Flow.Caller.Addr().Is4() || !h.Flow.Virtual.Addr().Is4() {
		return h, nil, Address, false
	}
	if len(payload) == 0 {
		return h, nil, Empty, false
	}
	return h, payload, 0, true
}

package holder

import (
	"encoding/binary"

	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/picker"
)

// Layout of connection IDs, in bytes. An agent generates the IDs of its connections: its agent tag, then random bytes.
const (
	ConnectionIDLength = 12
	TagLength          = 4
	// shortHeaderIDOffset and longHeaderIDOffset are the offsets of the destination connection ID in a packet.
	shortHeaderIDOffset = 1
	longHeaderIDOffset  = quicVersionEnd + 1
)

// connectionTag returns the agent tag in a datagram's destination connection ID. A caller's first packets carry a random ID
// that the caller chose; it matches the tag of an agent with a probability of one in four billion for each agent.
func connectionTag(datagram []byte) (uint32, bool) {
	start := shortHeaderIDOffset
	if len(datagram) > 0 && datagram[0]&quicLongHeader != 0 {
		start = longHeaderIDOffset
		if len(datagram) < start || datagram[quicVersionEnd] != ConnectionIDLength {
			return 0, false
		}
	}
	if len(datagram) < start+ConnectionIDLength {
		return 0, false
	}
	return binary.BigEndian.Uint32(datagram[start:]), true
}

// decideByTag decides about a datagram whose connection ID has the tag of an agent of the service. It returns false when
// the tag matches no agent. Two connections from one caller address share a flow key, so the ID takes precedence over the
// holder of the flow: after a planned stop the caller's next connection may be at another agent while the first one is
// still open.
func decideByTag(in DecisionInput, tag uint32) (Decision, bool) {
	agent, known := in.Table.MemberByTag(tag)
	if !known {
		// Only connections of an agent that died recently are reset. An agent with another unknown tag may have joined
		// without this table including it yet.
		return Decision{Action: ActionReset}, in.Table.DiedRecently(tag)
	}
	switch {
	case agent.Name == in.Self.Name && in.Held:
		return Decision{Action: ActionDeliver}, true
	case agent.Name == in.Self.Name && in.Full:
		return Decision{Action: ActionRefuse}, true
	case agent.Name == in.Self.Name:
		// The caller's address has changed, or the flow was idle. Generation 0 prevents a release of the agent's buckets
		// while it holds the flow.
		return Decision{Action: ActionOpen}, true
	case in.Header.Flags == framer.FlagTagged:
		return Decision{Action: ActionDrop}, true
	}
	return Decision{Action: ActionForward, To: agent.Address, Flags: framer.FlagTagged}, true
}

// ConnectionIDPrefix returns the agent tag, which the agent's connection IDs start with.
func (h *Holder) ConnectionIDPrefix() uint32 {
	return picker.TagOf(h.config.Self.Name)
}

// RefuseNewConnections makes the agent refuse new connections so that other agents take them, also those from the address
// of a flow that it holds.
func (h *Holder) RefuseNewConnections() {
	h.refusesNew.Store(true)
}

// refusesConnection reports whether a datagram opens a connection that the agent does not take, because it stops or because
// its failure domain is evacuated.
func (h *Holder) refusesConnection(in DecisionInput) bool {
	return in.CanOpen && (h.refusesNew.Load() || in.Table.IsEvacuated(in.Self.FailureDomain))
}

// decide decides about a datagram by its connection ID if that has the tag of an agent, and by its flow otherwise.
func (h *Holder) decide(in DecisionInput, payload []byte) Decision {
	if tag, ok := connectionTag(payload); ok && in.Header.Flags != framer.FlagHolderNotice {
		if decision, ok := decideByTag(in, tag); ok {
			return decision
		}
	}
	if h.refusesConnection(in) {
		// The flow that the agent may hold belongs to an older connection from the same address.
		in.Held = false
		in.Full = true
	}
	return Decide(in)
}

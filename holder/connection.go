package holder

import (
	"encoding/binary"

	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/picker"
)

// Layout of connection IDs in bytes. An agent chooses its connections' IDs: its tag, then random bytes.
const (
	ConnectionIDLength = 12
	TagLength          = 4
	// quicShortID and quicLongID are where the destination connection ID starts.
	quicShortID = 1
	quicLongID  = quicVersionEnd + 1
)

// tagOf returns the tag in a datagram's destination connection ID. First packets carry an ID that the caller chose, whose
// tag names no agent but for a chance of one in four billion for each target.
func tagOf(datagram []byte) (uint32, bool) {
	start := quicShortID
	if len(datagram) > 0 && datagram[0]&quicLongHeader != 0 {
		start = quicLongID
		if len(datagram) < start || datagram[quicVersionEnd] != ConnectionIDLength {
			return 0, false
		}
	}
	if len(datagram) < start+ConnectionIDLength {
		return 0, false
	}
	return binary.BigEndian.Uint32(datagram[start:]), true
}

// decideTagged decides about a datagram whose connection ID names an agent of the service. It reports false when no agent
// is named. Two connections of one caller address share a flow key, so the ID goes before the flow's holder: after a
// planned stop the caller's next connection may be at another agent while the first one still runs.
func decideTagged(s DecisionInput, tag uint32) (Decision, bool) {
	m, known := s.Table.MemberByTag(tag)
	if !known {
		// Only a tag that is known to be dead is reset: the agent of any other tag may have joined unnoticed.
		return Decision{Action: ActionReset}, s.Table.DiedRecently(tag)
	}
	switch {
	case m.Name == s.Self.Name && s.Held:
		return Decision{Action: ActionDeliver}, true
	case m.Name == s.Self.Name && s.Full:
		return Decision{Action: ActionRefuse}, true
	case m.Name == s.Self.Name:
		// The caller's address has changed, or the flow was idle. Generation 0 keeps the agent from being released.
		return Decision{Action: ActionOpen}, true
	case s.Header.Flags == framer.FlagTagged:
		return Decision{Action: ActionDrop}, true
	}
	return Decision{Action: ActionForward, To: m.Address, Flags: framer.FlagTagged}, true
}

// ConnectionIDPrefix returns the tag of the agent's connection IDs.
func (h *Holder) ConnectionIDPrefix() uint32 {
	return picker.TagOf(h.config.Self.Name)
}

// RefuseNewConnections makes the agent leave new connections to others, also those from the address of a flow that it holds.
func (h *Holder) RefuseNewConnections() {
	h.refusing.Store(true)
}

// refuses reports whether a datagram opens a connection that the agent leaves to others.
func (h *Holder) refuses(s DecisionInput) bool {
	return s.CanOpen && h.refusing.Load()
}

// decide returns the decision about a datagram with a given payload.
func (h *Holder) decide(s DecisionInput, payload []byte) Decision {
	if tag, ok := tagOf(payload); ok && s.Header.Flags != framer.FlagHolderNotice {
		if step, ok := decideTagged(s, tag); ok {
			return step
		}
	}
	if h.refuses(s) {
		s.Held = false
		s.Full = true
	}
	return Decide(s)
}

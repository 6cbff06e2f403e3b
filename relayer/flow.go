package relayer

import (
	"net/netip"

	"cherviltide.example/cherviltide"
)

// flow is the state of a flow that the target holds or whose opening packet was delivered to it.
type flow struct {
	// callerSequence is the sequence number of the opening packet. It is not known for an inferred flow, which the agent
	// knows only from the target's packets after a restart.
	callerSequence uint32
	inferred       bool
	// targetSequence is the sequence number of the target's answer to the opening packet; valid once answered is true.
	targetSequence uint32
	answered       bool
	// established is true once the caller has acknowledged the target's answer.
	established bool
	// openingGeneration is the table generation recorded for the flow.
	openingGeneration uint64
	// openedAt is when the flow was opened, lastPacketAt is the time of its last packet, and endedAt is when one side reset
	// the flow or both sides had finished it.
	openedAt, lastPacketAt, endedAt cherviltide.Millis
	// requestedAt is when the first payload of a request arrived while the target had a slot for it; 0 when no service time
	// is being measured. requestSeen is true once the caller has sent a request.
	requestedAt cherviltide.Millis
	requestSeen bool
	// nextCallerSequence is the sequence number after the caller's newest payload, so that a retransmission does not count
	// as another request.
	nextCallerSequence uint32
	// answering is true from the first packet of an answer until the next request.
	answering bool
	// lastRequestAt is when the newest request began, deadline bounds requests of the route; 0 means no bound.
	lastRequestAt, deadline cherviltide.Millis
	// working is true from the arrival of a request until the first byte of its answer.
	working bool
	// bulky is true for a flow of a route with long transfers.
	bulky bool
	// sending is true for a bulky flow from the first full packet of an answer to its end. besideSending is true for a request
	// that began while the requests in work and the downloads that move exceeded the slots.
	sending, besideSending bool
	// upload is true for a flow of a route with long requests.
	upload bool
	// transfer is the state of the newest request of a flow of a route with uploads; nil for other flows.
	transfer *transfer
	// active is true while the flow counts against the slots of the target.
	active bool
	// noticed is the owner that was told that this agent holds the flow; it is invalid while this agent is the owner.
	noticed netip.AddrPort
	// substitute is the agent that was told last because the owner is in a closed failure domain; see addSubstituteNotice.
	substitute                     netip.AddrPort
	callerFinished, targetFinished bool
}

// isOpen reports whether the caller has acknowledged the target's answer, and the flow has not ended. Until then another target
// that got a retransmission of the opening packet may get the flow.
func (f *flow) isOpen() bool {
	return f.established && f.endedAt == 0
}

// acknowledgesOtherTarget reports whether a caller's packet acknowledges the answer of a target other than this agent's.
// Only the first acknowledgement shows this: the flow is open at the target whose sequence number it acknowledges.
func (f *flow) acknowledgesOtherTarget(p cherviltide.Packet) bool {
	if f.established || !f.answered || !p.Has(cherviltide.PacketAck) {
		return false
	}
	return p.Acknowledgement-f.targetSequence-1 > maxUnacknowledged
}

// maxUnacknowledged is the largest number of bytes that a target sends before the caller's first acknowledgement arrives.
const maxUnacknowledged = 76_800

package relayer

import (
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// Action is what an agent does with a packet.
type Action uint8

// The actions.
const (
	ActionDrop    Action = iota
	ActionDeliver        // The agent's target gets the packet.
	ActionForward        // Another agent, or the entry, gets the packet with Decision.Header.
	ActionAnswer         // The caller gets the packet.
	ActionRefuse         // The caller gets a reset; the flow was not opened.
	ActionWait           // The packet waits for a slot of the target.
)

// Reason is the reason for a decision. Its name is written to logs and metrics.
type Reason uint8

// The reasons.
const (
	ReasonNone        Reason = iota
	ReasonHeld               // The agent holds the flow.
	ReasonOpened             // The agent opens the flow.
	ReasonUnsure             // The target may hold the flow although the agent does not know it, so the packet is delivered.
	ReasonOffered            // The agent cannot serve a new flow in time and offers it to another agent.
	ReasonDeclined           // The agent declines a new flow that another agent offers.
	ReasonNotOwner           // Another agent owns the flow's bucket.
	ReasonProbed             // Another agent may hold the flow.
	ReasonNotHeld            // The agent does not hold the flow that another agent searches for.
	ReasonStage              // No agent of this service holds the flow; the entry tries the next service.
	ReasonNoHolder           // No agent holds the flow.
	ReasonNoRoute            // The rules do not send new flows of this route here.
	ReasonOldRules           // The rules of the entry and of the agent are both older than rules that were used here.
	ReasonUnavailable        // No target takes the new flow.
	ReasonForged             // The packet cannot come from a caller, or no delivered packet matches the returned one.
	ReasonTarget             // The target sent the packet.
	ReasonNotice             // Another agent sent a notice that it holds the flow.
	ReasonGone               // The target returned a packet of a flow that it had held.
	ReasonHops               // The packet exceeded the hop limit.
	ReasonWaiting            // The new flow waits for a slot of the target.
	ReasonOverloaded         // No target can serve the new flow before its caller gives up.
	ReasonRecalling          // The agent has started and waits to learn who holds which flow.
	ReasonSearchLimit        // The caller's address has caused too many searches.
	ReasonEvacuated          // The agent's failure domain is evacuated, and no agent elsewhere takes the new flow.
	ReasonDetour             // The possible holder is in a closed failure domain, so the packet goes through a third one.
	ReasonPaced              // The hard bound of a cold target holds back a retransmission of an opening packet.
	reasonCount
)

var reasonNames = [reasonCount]string{
	"None", "Held", "Opened", "Unsure", "Offered", "Declined", "NotOwner", "Probed", "NotHeld", "Stage", "NoHolder",
	"NoRoute", "OldRules", "Unavailable", "Forged", "Target", "Notice", "Gone", "Hops", "Waiting", "Overloaded",
	"Recalling", "SearchLimit", "Evacuated", "Detour", "Paced",
}

// String returns the name of the reason.
func (r Reason) String() string {
	if r >= reasonCount {
		return "Unknown"
	}
	return reasonNames[r]
}

// Phase is a phase of a flow whose duration is measured.
type Phase uint8

// The phases.
const (
	PhaseNone    Phase = iota
	PhaseOpening       // From the delivery of the opening packet to the target's answer.
	PhaseService       // From a request to the first byte of its answer, when no request waits for a slot.
)

// Decision is an action with its parameters.
type Decision struct {
	Action Action
	Reason Reason
	// To is set for ActionForward.
	To netip.AddrPort
	// Copy also gets a forwarded packet if it is valid.
	Copy netip.AddrPort
	// Header is the header of a forwarded packet.
	Header framer.Header
	// Token is written into a delivered packet. It identifies the packet if the target returns it.
	Token uint32
	// Notify is the address of the agent that must be notified that this agent holds the flow; invalid when there is none.
	Notify netip.AddrPort
	// Notices answer the recall of another agent.
	Notices []Notice
	// Active and Slots are the active flows and the slots of the target when the decision was made, for the log.
	Active, Slots int
	// Transfers is the number of transfers in progress.
	Transfers int
	// Waiting is the number of flows that wait for a slot, or for a place among the transfers. Wait is the expected wait of a flow that begins to wait or is
	// refused, and the time that a flow has waited when it is opened; for the log.
	Waiting int
	Wait    cherviltide.Millis
	// Phase is the phase of the flow that the packet ends, Duration is the length of the phase.
	Phase    Phase
	Duration cherviltide.Millis
	// Restore is true when the target returned the packet, which must be turned back into the caller's packet.
	Restore bool
}

// Arrival is a packet received from an entry or another agent.
type Arrival struct {
	Header framer.Header
	// Sender is the address that the datagram came from.
	Sender netip.AddrPort
	Packet cherviltide.Packet
	// Flows has the further flows of a holder notice.
	Flows []cherviltide.FlowKey
	// Datagram is the header with the packet. It is valid only during the call, and kept only for a flow that waits.
	Datagram []byte
	// waitingSince is when a flow that waits began to wait here.
	waitingSince cherviltide.Millis
}

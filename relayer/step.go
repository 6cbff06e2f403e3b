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
	ActionPass           // Another agent, or the entry, gets the packet with Step.Header.
	ActionAnswer         // The caller gets the packet.
	ActionRefuse         // The caller gets a reset; the flow was not opened.
)

// Reason tells what decided a step.
type Reason uint8

// The reasons.
const (
	ReasonNone        Reason = iota
	ReasonHeld               // The agent holds the flow.
	ReasonOpened             // The agent opens the flow.
	ReasonUnsure             // The agent is younger than the flow may be, so its target is asked.
	ReasonOffered            // The agent cannot serve a new flow in time and offers it to another.
	ReasonDeclined           // The agent cannot serve a new flow that another one offers.
	ReasonNotOwner           // The table names another owner.
	ReasonProbed             // Another agent may hold the flow.
	ReasonNotHeld            // The agent does not hold the flow that another one searches for.
	ReasonStage              // No agent of this service holds the flow; the entry tries the next one.
	ReasonNoHolder           // No agent holds the flow.
	ReasonNoRoute            // The rules do not send new flows of this route here.
	ReasonOldRules           // Both the entry and the agent have rules older than some that were used here.
	ReasonUnavailable        // No target takes the flow.
	ReasonForged             // The packet does not come from a caller, or does not fit.
	ReasonTarget             // The target sent the packet.
	ReasonNotice             // A notice of another agent.
	ReasonGone               // The target returned a packet of a flow that it had held.
	ReasonHops               // The packet was passed on too often.
	reasons
)

var reasonNames = [reasons]string{
	"None", "Held", "Opened", "Unsure", "Offered", "Declined", "NotOwner", "Probed", "NotHeld", "Stage", "NoHolder",
	"NoRoute", "OldRules", "Unavailable", "Forged", "Target", "Notice", "Gone", "Hops",
}

// String returns the name of the reason.
func (r Reason) String() string {
	if r >= reasons {
		return "Unknown"
	}
	return reasonNames[r]
}

// Phase is a part of a flow's life that is measured.
type Phase uint8

// The phases.
const (
	PhaseNone    Phase = iota
	PhaseOpening       // From the delivery of the opening packet to the target's answer.
	PhaseWork          // From the first request to the first byte of its answer, when no request waits.
)

// Step is what to do with a packet.
type Step struct {
	Action Action
	Reason Reason
	// To is set for ActionPass.
	To netip.AddrPort
	// Header goes before a packet that is passed on.
	Header framer.Header
	// Token is written into a packet that is delivered, so that the target's return of it can be understood.
	Token uint32
	// Notify is a valid address when the agent there is to be told that this agent holds the flow.
	Notify netip.AddrPort
	// Active and Slots are the load of the target when the decision was made, for the log.
	Active, Slots int
	// Phase is the phase of the flow that the packet ends, and Took how long it lasted.
	Phase Phase
	Took  cherviltide.Millis
	// Restore is true when the packet was returned by the target and must be turned back into the caller's.
	Restore bool
}

// Arrival is a packet that another agent or an entry sent.
type Arrival struct {
	Header framer.Header
	// Sender is the address that the datagram came from.
	Sender netip.AddrPort
	Packet cherviltide.Packet
}

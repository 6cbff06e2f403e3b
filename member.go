package cherviltide

import "net/netip"

// Role is the job of a process in the system.
type Role string

// The roles of processes.
const (
	RoleEntry   Role = "Entry"
	RoleAgent   Role = "Agent"
	RoleControl Role = "Control"
)

// RoleOperator is the role of operators' commands, which are not members.
const RoleOperator Role = "Operator"

// NominalWeight is the weight of a target whose speed is not known yet. It stands for the speed of one nominal slot.
const NominalWeight = 1000

// NominalRate is the number of requests per second that one nominal slot completes.
const NominalRate = 100

// Member is a process that has announced itself to control. Its CBOR form uses integer keys to keep it small: after the
// loss of a failure domain every follower receives an event for each of its members.
type Member struct {
	// Name is unique in the system and does not change with a restart.
	Name string `cbor:"1,keyasint,omitzero"`
	Role Role   `cbor:"2,keyasint,omitzero"`
	// Incarnation grows with each restart. A new incarnation inherits no flows.
	Incarnation uint64 `cbor:"3,keyasint,omitzero"`
	// Address is the address for forwarded datagrams (UDP).
	Address netip.AddrPort `cbor:"4,keyasint,omitzero"`
	// Peer is the address for requests from other processes (TCP).
	Peer          netip.AddrPort `cbor:"5,keyasint,omitzero"`
	FailureDomain string         `cbor:"6,keyasint,omitzero"`
	Region        string         `cbor:"7,keyasint,omitzero"`
	// Service is empty for entries.
	Service string `cbor:"8,keyasint,omitzero"`
	// Weight is the relative speed of an agent's target; 1,000 is the speed of one nominal slot.
	Weight uint32 `cbor:"9,keyasint,omitzero"`
}

// MemberState is the state of a member as control knows it.
type MemberState string

// The states of a member. Only active members receive new flows.
const (
	StateActive  MemberState = "Active"
	StateSuspect MemberState = "Suspect"
	StateLeaving MemberState = "Leaving"
	StateDead    MemberState = "Dead"
)

// EventType is the type of a change of the membership.
type EventType string

// The member events, in the order in which a member usually sees them.
const (
	EventJoined    EventType = "Joined"
	EventWeighed   EventType = "Weighed"
	EventSuspected EventType = "Suspected"
	EventCleared   EventType = "Cleared"
	EventLeaving   EventType = "Leaving"
	EventReleased  EventType = "Released"
	EventDied      EventType = "Died"
)

// The events that concern the log and its tables.
const (
	// EventFounded is the first event of a bootstrapped log and carries the base of the log in Generation.
	EventFounded EventType = "Founded"
	// EventDefined creates the table of the service Member.Service with the given number of Buckets; 0 removes the table.
	EventDefined EventType = "Defined"
)

// The events that concern all members of the failure domain Member.FailureDomain, also those that join later. They have no
// service and apply to the tables of all services.
const (
	// EventEvacuated ends new flows to the targets of the domain. EventRestored allows them again.
	EventEvacuated EventType = "Evacuated"
	EventRestored  EventType = "Restored"
)

// IsAboutDomain reports whether events of this type concern a failure domain instead of a member or a service.
func (t EventType) IsAboutDomain() bool {
	return t == EventEvacuated || t == EventRestored
}

// MemberEvent is one entry of the membership log.
type MemberEvent struct {
	Type EventType `cbor:"1,keyasint,omitzero"`
	// Member is complete for Joined. Other events need only Name, Service and Incarnation, and Weighed also Weight.
	Member Member `cbor:"2,keyasint,omitzero"`
	// Generation is set for Released: the member holds no flow that it opened at an older generation. Founded has the base of
	// the log here.
	Generation uint64 `cbor:"3,keyasint,omitzero"`
	// Buckets is set for Defined.
	Buckets int `cbor:"4,keyasint,omitzero"`
	// Key is set for Founded: the packet key of the entries and agents without a key in their settings.
	Key []byte `cbor:"5,keyasint,omitempty"`
	// Operator and Time are set for Evacuated and Restored: who gave the order, and when the leader proposed it, in
	// milliseconds since the Unix epoch.
	Operator string `cbor:"6,keyasint,omitzero"`
	Time     Millis `cbor:"7,keyasint,omitzero"`
}

// PositionedEvent is a member event with its log position.
type PositionedEvent struct {
	// Position is the base of the membership log plus the index of the entry. A log that replaces a lost one has a base above
	// all positions of the lost log, so two different logs have no position in common.
	Position uint64      `cbor:"1,keyasint,omitzero"`
	Event    MemberEvent `cbor:"2,keyasint,omitzero"`
}

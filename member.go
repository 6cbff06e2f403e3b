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

// NominalWeight is the weight of a target before its speed is known; it is the speed of one nominal slot.
const NominalWeight = 1000

// NominalRate is the number of requests a second that one nominal slot completes.
const NominalRate = 100

// Member is a process that has announced itself to control. Its CBOR form has numbers for names, since the loss of a
// failure domain sends an event for each of its members to each follower.
type Member struct {
	// Name is unique in the system and is the same after a restart.
	Name string `cbor:"1,keyasint,omitzero"`
	Role Role   `cbor:"2,keyasint,omitzero"`
	// Incarnation differs after each restart and grows; a new incarnation inherits no flow.
	Incarnation uint64 `cbor:"3,keyasint,omitzero"`
	// Address receives forwarded datagrams (UDP).
	Address netip.AddrPort `cbor:"4,keyasint,omitzero"`
	// Peer receives requests of other processes (TCP).
	Peer          netip.AddrPort `cbor:"5,keyasint,omitzero"`
	FailureDomain string         `cbor:"6,keyasint,omitzero"`
	Region        string         `cbor:"7,keyasint,omitzero"`
	// Service is empty for entries.
	Service string `cbor:"8,keyasint,omitzero"`
	// Weight is the relative speed of an agent's target; 1,000 is the speed of one nominal slot.
	Weight uint32 `cbor:"9,keyasint,omitzero"`
}

// MemberState is what control believes about a member.
type MemberState string

// The states of a member. Only active members receive new flows.
const (
	StateActive  MemberState = "Active"
	StateSuspect MemberState = "Suspect"
	StateLeaving MemberState = "Leaving"
	StateDead    MemberState = "Dead"
)

// EventType tells what a member event changes.
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

// The events of the log itself.
const (
	// EventFounded is the first event of a log and carries its base in Generation.
	EventFounded EventType = "Founded"
	// EventDefined starts the table of the service Member.Service with Buckets buckets; 0 removes the table.
	EventDefined EventType = "Defined"
)

// MemberEvent is one entry of the membership log.
type MemberEvent struct {
	Type EventType `cbor:"1,keyasint,omitzero"`
	// Member is complete for Joined; other events need only Name, Service and Incarnation, and Weight for Weighed.
	Member Member `cbor:"2,keyasint,omitzero"`
	// Generation is set for Released: the member holds no flow that it opened at an older generation.
	Generation uint64 `cbor:"3,keyasint,omitzero"`
	// Buckets is set for Defined.
	Buckets int `cbor:"4,keyasint,omitzero"`
	// Key is set for Founded: the packet key of entries and agents whose settings have none.
	Key []byte `cbor:"5,keyasint,omitempty"`
}

// PositionedEvent is a member event with its position in the membership log.
type PositionedEvent struct {
	// Position is the base of the log plus the index of the entry. The base of a log that replaces a lost one is higher
	// than every position of the lost log, so positions of different logs never compare as equal.
	Position uint64      `cbor:"1,keyasint,omitzero"`
	Event    MemberEvent `cbor:"2,keyasint,omitzero"`
}

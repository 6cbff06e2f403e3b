package messenger

import "cherviltide.example/cherviltide"

// The procedures of a control instance.
var (
	Announce = Procedure[AnnounceRequest, AnnounceResponse]{path: "/cherviltide.Control/Announce"}
	Apply    = Procedure[ApplyRequest, ApplyResponse]{path: "/cherviltide.Control/Apply"}
	Current  = Procedure[CurrentRequest, CurrentResponse]{path: "/cherviltide.Control/Current"}
	Locate   = Procedure[LocateRequest, LocateResponse]{path: "/cherviltide.Control/Locate"}
	Status   = Procedure[StatusRequest, StatusResponse]{path: "/cherviltide.Control/Status"}
	Follow   = Stream[FollowRequest, FollowUpdate]{path: "/cherviltide.Control/Follow"}
)

// AnnounceRequest announces a member to control and renews its lease.
type AnnounceRequest struct {
	Member cherviltide.Member
	// Leaving is true while the member drains and must receive no new flows.
	Leaving bool
	// Ended is true when a leaving member has finished draining.
	Ended bool
	// Paused is true while the member must receive no new flows, but does not leave.
	Paused bool
	// RevisionSeen is the newest configuration revision that the process has received.
	RevisionSeen uint64
	// RevisionInForce is the configuration revision with which the process handled its last packet.
	RevisionInForce uint64
	// Generation is the generation of the agent's table.
	Generation uint64
	// OldestGeneration is the lowest generation at which the agent opened a flow that it still holds. It equals Generation
	// when the agent holds no flow.
	OldestGeneration uint64
	// OpenFlows is the number of flows that are open at the agent's target.
	OpenFlows int
	// Started is the start time of the process, by its own clock.
	Started cherviltide.Millis
	// Counters are the request counts since the start of the process; they never decrease within an incarnation.
	Counters []cherviltide.KindCounts
	// Rate is the measured service rate in thousandths of the rate of a nominal slot; 0 when it is not known.
	Rate uint32
	// Unreached has the failure domains that are closed for an entry or agent: it sends them no new flows.
	Unreached []string `cbor:",omitempty"`
	// Forwarded is true when another control instance has forwarded the announcement. It is not forwarded again.
	Forwarded bool
}

// AnnounceResponse grants a lease or expels the member.
type AnnounceResponse struct {
	// Lease is the duration of the lease, from the time at which the request was sent. It is 0 when the announcement was
	// not accepted.
	Lease cherviltide.Millis
	// Leave tells the member to drain and to exit, because an operator has asked for it.
	Leave bool
	// Expelled is true when the announced incarnation is dead or was replaced. Incarnation is then the newest known one.
	Expelled    bool
	Incarnation uint64
	// Position is the last position of the membership log that the leader had applied when it responded.
	Position uint64
}

// ApplyRequest submits a rules file.
type ApplyRequest struct {
	// EditID identifies the edit. An edit that is sent again because its response was lost keeps its ID.
	EditID string
	// Base is the revision that the edit is based on.
	Base     uint64
	Operator string
	// Number is the operator's own number of the file, if it has one. An edit whose number is not higher than that of the
	// accepted file changes nothing; the response has the accepted revision.
	Number cherviltide.EditNumber
	Text   string
	// Forwarded is true when another control instance has forwarded the request to the leader.
	Forwarded bool
}

// ApplyResponse has the revision that the edit created.
type ApplyResponse struct {
	Revision uint64
}

// CurrentRequest requests the accepted rules file.
type CurrentRequest struct {
	// Forwarded is true when another control instance has forwarded the request to the leader.
	Forwarded bool
}

// CurrentResponse is the accepted rules file.
type CurrentResponse struct {
	Revision uint64
	// Number is the operator's own number of the file, if it has one.
	Number cherviltide.EditNumber
	Text   string
	// Confirmed is false when the instance could not reach a majority, so that the response may be outdated.
	Confirmed bool
}

// LocateRequest asks a voter where the leader of the configuration is.
type LocateRequest struct{}

// LocateResponse has the base URL of the leader as the voter knows it.
type LocateResponse struct {
	URL string
}

// StatusRequest requests the state of all members.
type StatusRequest struct {
	// Forwarded is true when another control instance has forwarded the request. It is not forwarded again.
	Forwarded bool
}

// StatusResponse lists the members as the instance knows them.
type StatusResponse struct {
	Revision  uint64
	Position  uint64
	Confirmed bool
	Members   []MemberStatus
	// Evacuations has the evacuated failure domains in the order of their names.
	Evacuations []EvacuationStatus
	// Held has the services and roles of the held groups: their members are kept although their leases have expired,
	// because too many expired at once.
	Held []string
}

// EvacuationStatus is the state of an evacuated failure domain.
type EvacuationStatus struct {
	FailureDomain string
	// Operator gave the order, and Since is when, in milliseconds since the Unix epoch.
	Operator string
	Since    cherviltide.Millis
	// Agents is the number of live agents in the domain, and OpenFlows the number of flows that are still open at their
	// targets, by the last announcement of each agent to this instance.
	Agents, OpenFlows int
}

// MemberStatus is the state of one member.
type MemberStatus struct {
	Member cherviltide.Member
	State  cherviltide.MemberState
	// RevisionSeen is the newest revision that the member has received, and RevisionInForce the one with which it handled
	// its last packet.
	RevisionSeen    uint64
	RevisionInForce uint64
	// Generation is the generation of an agent's table.
	Generation uint64
	// OpenFlows is the number of flows that are open at the target of an agent.
	OpenFlows int
	// Lags is true when the accepted revision is not in force at the member.
	Lags bool
	// Unreached has the failure domains that are closed for the member.
	Unreached []string `cbor:",omitempty"`
}

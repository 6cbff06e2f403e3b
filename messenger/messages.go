package messenger

import "cherviltide.example/cherviltide"

// The procedures of a control instance.
var (
	Announce = Procedure[AnnounceRequest, AnnounceResponse]{path: "/cherviltide.Control/Announce"}
	Apply    = Procedure[ApplyRequest, ApplyResponse]{path: "/cherviltide.Control/Apply"}
	Current  = Procedure[CurrentRequest, CurrentResponse]{path: "/cherviltide.Control/Current"}
	Status   = Procedure[StatusRequest, StatusResponse]{path: "/cherviltide.Control/Status"}
	Follow   = Stream[FollowRequest, FollowUpdate]{path: "/cherviltide.Control/Follow"}
)

// AnnounceRequest announces a process and renews its lease.
type AnnounceRequest struct {
	Member cherviltide.Member
	// Leaving asks that the member receive nothing new.
	Leaving bool
	// Ended tells that a leaving member has finished.
	Ended bool
	// RevisionSeen is the newest configuration that the process has received.
	RevisionSeen uint64
	// RevisionInForce is the configuration that decided the process's last packet.
	RevisionInForce uint64
	// Generation is the generation of the agent's own table.
	Generation uint64
	// OldestGeneration is the lowest generation at which the agent opened a flow that it still holds.
	// It equals Generation when the agent holds no flow.
	OldestGeneration uint64
	// Forwarded is true when a control instance passes the request to the leader.
	Forwarded bool
}

// AnnounceResponse grants a lease.
type AnnounceResponse struct {
	// Lease is counted from the moment at which the request was sent.
	Lease cherviltide.Millis
}

// ApplyRequest asks control to accept a rules file.
type ApplyRequest struct {
	// EditID is the same when an edit is sent again because its answer was lost.
	EditID string
	// Base is the revision that the operator edited.
	Base     uint64
	Operator string
	Text     string
	// Forwarded is true when a control instance passes the request to the leader.
	Forwarded bool
}

// ApplyResponse tells the revision that the edit became.
type ApplyResponse struct {
	Revision uint64
}

// CurrentRequest asks for the accepted rules file.
type CurrentRequest struct {
	// Forwarded is true when a control instance passes the request to the leader.
	Forwarded bool
}

// CurrentResponse is the accepted rules file.
type CurrentResponse struct {
	Revision uint64
	Text     string
	// Confirmed is false when the instance could not reach a majority, so the answer may be old.
	Confirmed bool
}

// StatusRequest asks for the state of all members.
type StatusRequest struct {
	// Forwarded is true when a control instance passes the request to the leader.
	Forwarded bool
}

// StatusResponse lists the members as the instance knows them.
type StatusResponse struct {
	Revision  uint64
	Position  uint64
	Confirmed bool
	Members   []MemberStatus
}

// MemberStatus is the state of one member.
type MemberStatus struct {
	Member          cherviltide.Member
	State           cherviltide.MemberState
	RevisionSeen    uint64
	RevisionInForce uint64
}

// FollowRequest subscribes to configuration and membership.
type FollowRequest struct {
	Name string
	// Revision and Position are what the follower holds already.
	Revision uint64
	Position uint64
	// Service limits membership events to one service; empty means all.
	Service string
}

// FollowUpdate is one message of a subscription. An empty update is a heartbeat.
type FollowUpdate struct {
	// Position is the newest membership position that this update brings the follower to.
	Position uint64
	// Events are in the order of their positions.
	Events []cherviltide.PlacedEvent
	// Rules is nil when the follower's revision is current.
	Rules *RulesUpdate
}

// RulesUpdate carries an accepted rules file.
type RulesUpdate struct {
	Revision uint64
	Text     string
}

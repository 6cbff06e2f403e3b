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
	// Paused asks that the member receive no new flows until it announces itself without it.
	Paused bool
	// RevisionSeen is the newest configuration that the process has received.
	RevisionSeen uint64
	// RevisionInForce is the configuration that decided the process's last packet.
	RevisionInForce uint64
	// Generation is the generation of the agent's own table.
	Generation uint64
	// OldestGeneration is the lowest generation at which the agent opened a flow that it still holds.
	// It equals Generation when the agent holds no flow.
	OldestGeneration uint64
	// Started is when the process started, by its own clock.
	Started cherviltide.Millis
	// Counters are the process's requests since its start; they never shrink within an incarnation.
	Counters []cherviltide.KindCounts
	// Rate is the measured service rate in thousandths of a nominal slot; 0 when it is not known.
	Rate uint32
	// Forwarded is set when another control instance passes the announcement on. It is not passed on again.
	Forwarded bool
}

// AnnounceResponse grants a lease.
type AnnounceResponse struct {
	// Lease is counted from the moment at which the request was sent. It is 0 when the announcement was not accepted.
	Lease cherviltide.Millis
	// Leave tells the member to finish what it has and to end, because an operator drains it.
	Leave bool
	// Expelled is set when the announced incarnation is dead or replaced; Incarnation is then the newest known one.
	Expelled    bool
	Incarnation uint64
	// Position is the newest membership position that the leader had applied when it answered.
	Position uint64
}

// ApplyRequest asks control to accept a rules file.
type ApplyRequest struct {
	// EditID is the same when an edit is sent again because its answer was lost.
	EditID string
	// Base is the revision that the operator edited.
	Base     uint64
	Operator string
	// Number is the operator's own number of the file, or 0. An edit whose number is not above that of the accepted file
	// is answered with the accepted revision and changes nothing.
	Number uint64
	Text   string
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
	// Number is the operator's own number of the file, or 0.
	Number uint64
	Text   string
	// Confirmed is false when the instance could not reach a majority, so the answer may be old.
	Confirmed bool
}

// StatusRequest asks for the state of all members.
type StatusRequest struct {
	// Forwarded is set when another control instance passes the request on. It is not passed on again.
	Forwarded bool
}

// StatusResponse lists the members as the instance knows them.
type StatusResponse struct {
	Revision  uint64
	Position  uint64
	Confirmed bool
	Members   []MemberStatus
	// Held names the services and roles whose silent members are kept, because too many are silent at once.
	Held []string
}

// MemberStatus is the state of one member.
type MemberStatus struct {
	Member cherviltide.Member
	State  cherviltide.MemberState
	// RevisionSeen is what the member received, RevisionInForce what decided its last packet.
	RevisionSeen    uint64
	RevisionInForce uint64
	// Generation is the generation of an agent's own table.
	Generation uint64
	// Lags is set when the member does not run the accepted revision.
	Lags bool
}

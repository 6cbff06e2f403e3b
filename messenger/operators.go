package messenger

import (
	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/reporter"
)

// The procedures of a control instance that serve operators' commands.
var (
	Rules   = Procedure[RulesRequest, RulesResponse]{path: "/cherviltide.Control/Rules"}
	History = Procedure[HistoryRequest, HistoryResponse]{path: "/cherviltide.Control/History"}
	Drain   = Procedure[DrainRequest, DrainResponse]{path: "/cherviltide.Control/Drain"}
	// Evacuate orders or withdraws the evacuation of a failure domain.
	Evacuate = Procedure[EvacuateRequest, EvacuateResponse]{path: "/cherviltide.Control/Evacuate"}
	Report   = Procedure[ReportRequest, ReportResponse]{path: "/cherviltide.Control/Report"}
)

// RulesRequest requests the accepted rules with their origins.
type RulesRequest struct {
	// Forwarded is true when another control instance has forwarded the request. It is not forwarded again.
	Forwarded bool
}

// RulesResponse lists the rules of the newest accepted file in the order of their lines.
type RulesResponse struct {
	Revision uint64
	// Confirmed is false when the instance could not reach a majority, so that the response may be outdated.
	Confirmed bool
	Rules     []RuleOrigin
}

// RuleOrigin is a rule and the edit that added it.
type RuleOrigin struct {
	// Line is the line in the newest accepted file, from 1.
	Line      int
	Text      string
	Requester string
	// Revision is the revision since which the rule has been in every accepted file.
	Revision uint64
	EditID   string
	Operator string
	// Time is when control received the edit.
	Time cherviltide.Millis
}

// HistoryRequest requests accepted revisions.
type HistoryRequest struct {
	// Newest is the newest revision in the response; 0 means the current one.
	Newest uint64
	// Limit is the largest number of revisions in the response; 0 means all.
	Limit int
	// WithText requests the text of each revision too.
	WithText bool
	// Forwarded is true when another control instance has forwarded the request. It is not forwarded again.
	Forwarded bool
}

// HistoryResponse lists revisions, newest first.
type HistoryResponse struct {
	Confirmed bool
	Revisions []RevisionSummary
}

// RevisionSummary is an accepted revision and what it changed.
type RevisionSummary struct {
	Revision uint64
	Base     uint64
	EditID   string
	Operator string
	Time     cherviltide.Millis
	// Added and Removed are the numbers of lines added and removed relative to the previous revision.
	Added, Removed int
	// Text is empty unless the request has WithText.
	Text string
}

// DrainRequest asks control to drain a member.
type DrainRequest struct {
	Member   string
	Operator string
	// Forwarded is true when another control instance has forwarded the request. It is not forwarded again.
	Forwarded bool
}

// DrainResponse has the state of the member after the request.
type DrainResponse struct {
	State cherviltide.MemberState
}

// EvacuateRequest orders the evacuation of a failure domain or withdraws it. It may be repeated.
type EvacuateRequest struct {
	FailureDomain string
	// Withdraw is true to let the targets of the domain take new flows again.
	Withdraw bool
	Operator string
	// Forwarded is true when another control instance has forwarded the request. It is not forwarded again.
	Forwarded bool
}

// EvacuateResponse acknowledges that a majority has synced the order.
type EvacuateResponse struct {
	// Position is a position of the membership log from which on the order is included.
	Position uint64
}

// ReportRequest requests the service-level report.
type ReportRequest struct {
	// Forwarded is true when another control instance has forwarded the request. It is not forwarded again.
	Forwarded bool
}

// ReportResponse is the service-level report as the instance knows it.
type ReportResponse struct {
	Confirmed bool
	Report    reporter.Report
}

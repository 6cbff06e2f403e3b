package messenger

import (
	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/reporter"
)

// The procedures of a control instance for operators.
var (
	Rules   = Procedure[RulesRequest, RulesResponse]{path: "/cherviltide.Control/Rules"}
	History = Procedure[HistoryRequest, HistoryResponse]{path: "/cherviltide.Control/History"}
	Drain   = Procedure[DrainRequest, DrainResponse]{path: "/cherviltide.Control/Drain"}
	Report  = Procedure[ReportRequest, ReportResponse]{path: "/cherviltide.Control/Report"}
)

// RulesRequest asks for each accepted rule with its origin.
type RulesRequest struct {
	// Forwarded is set when another control instance passes the request on. It is not passed on again.
	Forwarded bool
}

// RulesResponse lists the rules of the newest accepted file in the order of their lines.
type RulesResponse struct {
	Revision uint64
	// Confirmed is false when the instance could not reach a majority, so the answer may be old.
	Confirmed bool
	Rules     []RuleOrigin
}

// RuleOrigin is a rule and the edit that brought it.
type RuleOrigin struct {
	// Line is the line in the newest accepted file, from 1.
	Line      int
	Text      string
	Requester string
	// Revision is the oldest revision since which the rule has been accepted without a break.
	Revision uint64
	EditID   string
	Operator string
	// Time is when the edit was received.
	Time cherviltide.Millis
}

// HistoryRequest asks for accepted revisions.
type HistoryRequest struct {
	// Newest is the first revision of the answer; 0 means the current one.
	Newest uint64
	// Limit is the highest number of revisions in the answer; 0 means all.
	Limit int
	// WithText asks for the files too.
	WithText bool
	// Forwarded is set when another control instance passes the request on. It is not passed on again.
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
	// Added and Removed count lines against the revision before.
	Added, Removed int
	// Text is empty unless the request asked for it.
	Text string
}

// DrainRequest asks a member to leave.
type DrainRequest struct {
	Member   string
	Operator string
	// Forwarded is set when another control instance passes the request on. It is not passed on again.
	Forwarded bool
}

// DrainResponse tells what control believes about the member now.
type DrainResponse struct {
	State cherviltide.MemberState
}

// ReportRequest asks for the service-level report.
type ReportRequest struct {
	// Forwarded is set when another control instance passes the request on. It is not passed on again.
	Forwarded bool
}

// ReportResponse is the service-level report as the instance knows it.
type ReportResponse struct {
	Confirmed bool
	Report    reporter.Report
}

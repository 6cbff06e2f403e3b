package checker

import (
	"cmp"
	"slices"
	"unicode/utf8"
)

// Severity tells whether a finding keeps a configuration from coming into force.
type Severity string

// The severities of findings.
const (
	SeverityError   Severity = "Error"   // Control or the process would refuse the file.
	SeverityWarning Severity = "Warning" // The file is accepted, but a part of it does not do what it seems to, or was not checked.
)

// Code identifies a class of findings. Codes are stable, so that tools can act on them. The problems that package parser finds
// have the codes of that package.
type Code string

// The codes of findings about the file as a whole.
const (
	CodeUnreadableFile    Code = "UnreadableFile"
	CodeFileTooLarge      Code = "FileTooLarge"
	CodeWrongEncoding     Code = "WrongEncoding"
	CodeByteOrderMark     Code = "ByteOrderMark"
	CodeInvalidJSON       Code = "InvalidJson"
	CodeInvalidValue      Code = "InvalidValue"
	CodeMissingSetting    Code = "MissingSetting"
	CodeUnknownService    Code = "UnknownService"
	CodeDuplicateAddress  Code = "DuplicateAddress"
	CodeNoPositiveShare   Code = "NoPositiveShare"
	CodeInvalidEntry      Code = "InvalidEntry"
	CodeInvalidSetting    Code = "InvalidSetting"
	CodeNoRules           Code = "NoRules"
	CodeOnlyErrorsChecked Code = "OnlyErrorsChecked"
)

// The codes of findings about entries that are valid one by one.
const (
	CodeServiceNotReached      Code = "ServiceNotReached"
	CodeServiceWithoutCustomer Code = "ServiceWithoutCustomer"
	CodeServiceTakesNoNewFlows Code = "ServiceTakesNoNewFlows"
	CodeAddressNotServed       Code = "AddressNotServed"
	CodeWarmUpWithoutEffect    Code = "WarmUpWithoutEffect"
	CodePathNeverMatches       Code = "PathNeverMatches"
	CodeShareOfZero            Code = "ShareOfZero"
	CodeRepeatedShare          Code = "RepeatedShare"
	CodeGoalAboveDeadline      Code = "GoalAboveDeadline"
	CodeDeadlineAboveIdleTime  Code = "DeadlineAboveIdleTime"
	// Two services with one name or one ID on the wire get each other's packets.
	CodeDuplicateEntry      Code = "DuplicateEntry"
	CodeDuplicateID         Code = "DuplicateId"
	CodeSlotsWithoutReserve Code = "SlotsWithoutReserve"
	CodeEvenVoters          Code = "EvenVoters"
)

// The codes of findings about parts of the comparison with the version in force that are missing.
const (
	CodeControlNotReached        Code = "ControlNotReached"
	CodeControlNotConfirmed      Code = "ControlNotConfirmed"
	CodeVersionInForceUnreadable Code = "VersionInForceUnreadable"
	CodeNotCompared              Code = "NotCompared"
	CodeOriginsUnknown           Code = "OriginsUnknown"
	CodeOpenFlowsUnknown         Code = "OpenFlowsUnknown"
)

// Finding is one fact about a configuration that its author should know.
type Finding struct {
	Severity Severity
	Code     Code
	// Line and Column start at 1; columns count characters. They are 0 when they are not known.
	Line, Column int
	// Entry names the entry, such as "Kind desk check"; it is empty for findings about the whole file.
	Entry   string
	Message string
}

// MaxFindings bounds the findings of a report: a file of 1.5 MiB can have hundreds of thousands of problems.
const MaxFindings = 1_000

// maxTextLength bounds entries and messages in characters, since a value in a file may be as long as the file.
const maxTextLength = 300

// Report is the result of the check of one file.
type Report struct {
	File string
	// Errors and Warnings count all findings, also those that are left out.
	Errors, Warnings int
	// Findings are sorted by line and column; those without a line come first.
	Findings []Finding
	// Omitted is the number of findings beyond MaxFindings. Warnings are left out first.
	Omitted int
	// InForce is the comparison with the version in force; nil when none was requested or possible.
	InForce *Comparison `json:",omitempty"`
}

// NewReport sorts, counts and bounds the findings of a file.
func NewReport(file string, findings []Finding) Report {
	r := Report{File: file, Findings: make([]Finding, 0, min(len(findings), MaxFindings))}
	for _, f := range findings {
		if f.Severity == SeverityError {
			r.Errors++
		} else {
			r.Warnings++
		}
	}
	sorted := slices.Clone(findings)
	slices.SortStableFunc(sorted, compareSeverity)
	r.Omitted = max(len(sorted)-MaxFindings, 0)
	for _, f := range sorted[:len(sorted)-r.Omitted] {
		f.Entry, f.Message = shorten(f.Entry), shorten(f.Message)
		r.Findings = append(r.Findings, f)
	}
	slices.SortStableFunc(r.Findings, comparePosition)
	return r
}

// compareSeverity orders findings by severity and then by position, so that the first ones of a long list are kept.
func compareSeverity(a, b Finding) int {
	return cmp.Or(cmp.Compare(a.Severity, b.Severity), comparePosition(a, b))
}

func comparePosition(a, b Finding) int {
	return cmp.Or(a.Line-b.Line, a.Column-b.Column, cmp.Compare(a.Severity, b.Severity))
}

// shorten removes the middle of a long text. Messages begin with what was found and end with what is expected.
func shorten(text string) string {
	if utf8.RuneCountInString(text) <= maxTextLength {
		return text
	}
	runes := []rune(text)
	return string(runes[:maxTextLength/2]) + " ... " + string(runes[len(runes)-maxTextLength/2:])
}

package checker

import (
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

const (
	desk  = "Service desk Address 203.0.113.7:443 # asked by Rita\n"
	kind  = "Kind desk check # asked by Rita\n"
	pilot = "Customer pilot Services desk # asked by Rita\n"
)

var limits = Limits{TextBytes: 4096, FlowIdle: 30_000}

// TestFindings guards against a finding that is missing, that has another code or place, or that comes with others.
func TestFindings(t *testing.T) {
	const severe, mild = SeverityError, SeverityWarning
	for name, c := range map[string]struct {
		text         string
		severity     Severity
		code         Code
		line, column int
		message      string
	}{
		"unknown keyword":            {desk + "Knd desk check # R\n", severe, "UnknownKeyword", 2, 1, "did you mean Kind?"},
		"no requester":               {"Customer pilot Services desk\n" + desk, severe, "MissingRequester", 1, 29, "found no comment"},
		"kind behind a general one":  {desk + kind + "Kind desk read Method GET # R\n" + pilot, severe, "KindNeverMatches", 3, 1, "line 2"},
		"customer of no service":     {desk + kind + "Customer pilot Services desk,dsk # R\n", severe, "UnknownService", 3, 30, "did you mean desk?"},
		"Latin-1":                    {desk + kind + pilot + "# Ren\xe9\n", severe, "InvalidEncoding", 4, 6, "in Latin-1 it is é"},
		"byte order mark":            {"\uFEFF" + desk + kind + pilot, severe, CodeByteOrderMark, 1, 1, "EF BB BF"},
		"UTF-16":                     {"\xFF\xFES\x00e\x00", severe, CodeWrongEncoding, 0, 0, "FFFE"},
		"UTF-16 without a mark":      {"S\x00e\x00r\x00v\x00", severe, CodeWrongEncoding, 0, 0, "4 zero bytes in 8"},
		"too large":                  {strings.Repeat("#\n", 4096), severe, CodeFileTooLarge, 0, 0, "4096 bytes"},
		"empty":                      {"\n", mild, CodeNoRules, 0, 0, "remove every service"},
		"service without kinds":      {desk + pilot, mild, CodeServiceNotReached, 1, 1, "no kind"},
		"service without customers":  {desk + kind, mild, CodeServiceWithoutCustomer, 1, 1, "its 1 kinds"},
		"IPv6":                       {strings.Replace(desk, "203.0.113.7", "[2001:db8::1]", 1) + kind + pilot, mild, CodeAddressNotServed, 1, 22, "[2001:db8::1]:443"},
		"warm-up without routes":     {strings.Replace(desk, "#", "WarmUp 30s #", 1) + kind + pilot, mild, CodeWarmUpWithoutEffect, 1, 45, "30s"},
		"path with an empty segment": {desk + strings.Replace(kind, "#", "Path /a//b #", 1) + pilot, mild, CodePathNeverMatches, 2, 22, "an empty segment"},
		"path with a dot segment":    {desk + strings.Replace(kind, "#", "Path /a/../ #", 1) + pilot, mild, CodePathNeverMatches, 2, 22, "the segment .."},
		"long deadline":              {desk + strings.Replace(kind, "#", "Deadline 31s #", 1) + pilot, mild, CodeDeadlineAboveIdleTime, 2, 26, "31s is above the 30s"},
	} {
		t.Run(name, func(t *testing.T) {
			document, findings := CheckText(c.text, limits)
			require.Equal(t, c.severity == severe, document == nil)
			findings = slices.DeleteFunc(findings, func(f Finding) bool { return f.Code == CodeOnlyErrorsChecked })
			require.Len(t, findings, 1)
			f := findings[0]
			require.Equal(t, []any{c.severity, c.code, c.line, c.column}, []any{f.Severity, f.Code, f.Line, f.Column})
			require.Contains(t, f.Message, c.message)
		})
	}
	_, findings := CheckText(desk+kind+pilot+"Kind desk long Path /l Class Bulky Deadline 5m # R\nKind desk dot Path /a/. # R", limits)
	require.Empty(t, findings, "a valid file has findings")
}

// TestRouteFindings guards against routes whose settings contradict each other and that pass the check.
func TestRouteFindings(t *testing.T) {
	rules := cherviltide.Rules{
		Services: []cherviltide.Service{{Name: "a", ID: 1}, {Name: "b", ID: 2}, {Name: "c", ID: 1}, {Name: "a", ID: 1}},
		Routes: []cherviltide.Route{
			{Name: "r", Deadline: 10, Goal: 20, Shares: []cherviltide.Share{{Service: "a", Weight: 1}, {Service: "b"}, {Service: "a", Weight: 2}}},
			{Name: "s", Deadline: 200, Shares: []cherviltide.Share{{Service: "a", Weight: 1}}},
			{Name: "upload", Deadline: 200, Class: cherviltide.ClassUpload, Shares: []cherviltide.Share{{Service: "a", Weight: 1}}},
		},
		FlowIdle: 100,
	}
	var codes []Code
	for _, f := range CheckDocument(Document{rules, func(EntryType, int, string) Position { return Position{} }}, limits) {
		codes = append(codes, f.Code)
	}
	require.Equal(t, []Code{
		CodeServiceTakesNoNewFlows, CodeServiceNotReached, CodeDuplicateID, CodeDuplicateEntry,
		CodeGoalAboveDeadline, CodeShareOfZero, CodeRepeatedShare, CodeDeadlineAboveIdleTime,
	}, codes)
}

// TestReportIsBounded guards against a report that grows with the problems of a file, or leaves out errors before warnings.
func TestReportIsBounded(t *testing.T) {
	findings := slices.Repeat([]Finding{{Severity: SeverityWarning, Line: 1}}, MaxFindings)
	findings = append(findings, Finding{Severity: SeverityError, Line: 2, Message: strings.Repeat("é", 1<<20)})
	r := NewReport("rules", findings)
	require.Equal(t, []int{1, MaxFindings, 1, MaxFindings}, []int{r.Errors, r.Warnings, r.Omitted, len(r.Findings)})
	last := r.Findings[MaxFindings-1]
	require.Equal(t, SeverityError, last.Severity)
	require.Less(t, len(last.Message), 1000)
}

// TestCompare guards against a difference that is missing, or a change that is told of another entry, author or service.
func TestCompare(t *testing.T) {
	read := func(text string) Document {
		d, findings := CheckText(text, limits)
		require.NotNil(t, d, findings)
		return *d
	}
	before := read(desk + "Service old Address 203.0.113.8:443 # asked by Rita\n" + kind + pilot)
	after := read("# moved\n" + strings.Replace(kind, "#", "Deadline 2s #", 1) + desk + pilot + "Kind desk new Path /n # R")
	c := Comparison{Changes: Compare(before, after)}
	require.Equal(t, 1, c.AddOrigins(map[int]Origin{3: {Operator: "rita", Revision: 7}}))
	require.True(t, c.EndsFlows())
	c.AddOpenFlows(map[string]OpenFlows{"old": {Flows: 3, Agents: 2}, "desk": {Flows: 9, Agents: 9}})
	require.Equal(t, []Change{
		{Type: ChangeRemoved, Entry: "Service old", LineInForce: 2, OpenFlows: &OpenFlows{Flows: 3, Agents: 2}, lostServices: []string{"old"}},
		{
			Type: ChangeChanged, Entry: "Kind desk check", Line: 2, LineInForce: 3, Origin: &Origin{Operator: "rita", Revision: 7},
			Settings: []SettingChange{{"Deadline", "10s", "2s"}},
		},
		{Type: ChangeAdded, Entry: "Kind desk new", Line: 5},
	}, c.Changes)
	require.Empty(t, Compare(after, after))
	route := func(services ...string) Document {
		r := cherviltide.Route{Name: "r", Address: netip.MustParseAddrPort("203.0.113.7:443")}
		for _, s := range services {
			r.Shares = append(r.Shares, cherviltide.Share{Service: s, Weight: 1})
		}
		return Document{cherviltide.Rules{Routes: []cherviltide.Route{r}}, func(EntryType, int, string) Position { return Position{} }}
	}
	require.Equal(t, []string{"a"}, Compare(route("a", "b"), route("b"))[0].lostServices)
}

// FuzzCheckText guards against a text that crashes the check, that is refused without an error, or whose findings are not in
// the order of the file or lie outside it.
func FuzzCheckText(f *testing.F) {
	for _, seed := range []string{
		"", desk + kind + pilot, "\xFF\xFES\x00", "\xEF\xBB\xBF" + desk, desk + "Kind desk k Path /a//b Deadline 24h # R\r\nKnd\n",
		"Service a Address [::1]:1 WarmUp 1h WarmUpRate 0 # R\nService a # R\xe9\n", "Kind Kind Kind Path Path # R", "Customer c Services a,,b # R",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		d, findings := CheckText(text, limits)
		r := NewReport("rules", findings)
		require.Equal(t, d == nil, r.Errors > 0)
		require.True(t, slices.IsSortedFunc(r.Findings, comparePosition))
		lines := strings.Split(text, "\n")
		for _, x := range r.Findings {
			require.LessOrEqual(t, x.Line, len(lines))
			require.NotEmpty(t, x.Code)
			require.NotEmpty(t, x.Message)
			if x.Line > 0 {
				require.Positive(t, x.Column)
				require.LessOrEqual(t, x.Column, len([]rune(lines[x.Line-1]))+1)
			}
		}
		if d != nil {
			require.Empty(t, Compare(*d, *d))
		}
	})
}

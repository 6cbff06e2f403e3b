package commands

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/checker"
	"cherviltide.example/cherviltide/messenger"
)

const reachedRules = validRules + "Kind desk check # asked by Rita\nCustomer pilot Services desk # asked by Rita\n"

// TestCheckExitCodes guards against a file with errors that a script sends, and against output that is not one JSON document.
func TestCheckExitCodes(t *testing.T) {
	agent := `{"Name": "a-1", "FailureDomain": "x", "Region": "s", "Control": ["127.0.0.1:7400"], "PacketKey": "000102030405060708090a0b0c0d0e0f",
 "Service": "desk", "Data": "127.0.0.1:1", "Peer": "127.0.0.1:2", "Target": "127.0.0.1:3", "CallerTLS": {"Certificate": "c", "Key": "k", "Authority": "a"}, "Slots": 1}`
	for name, c := range map[string]struct {
		args []string
		text string
		code int
		want checker.Code
	}{
		"valid":               {[]string{"check", "--strict"}, reachedRules, ExitDone, ""},
		"warnings":            {[]string{"check"}, validRules, ExitDone, checker.CodeServiceNotReached},
		"strict":              {[]string{"check", "--strict"}, validRules, ExitCheckWarnings, checker.CodeServiceNotReached},
		"errors":              {[]string{"check"}, "Knd\n", ExitCheckErrors, "UnknownKeyword"},
		"one line of 1.5 MiB": {[]string{"check"}, strings.Repeat("x ", 3<<18), ExitCheckErrors, "UnknownKeyword"},
		"one word of 1.5 MiB": {[]string{"check"}, "Service a " + strings.Repeat("x", 3<<19), ExitCheckErrors, "UnknownSetting"},
		"warning in settings": {[]string{"check", "--strict", "--role", "agent"}, agent, ExitCheckWarnings, checker.CodeSlotsWithoutReserve},
		"error in settings":   {[]string{"check", "--role", "agent"}, strings.Replace(agent, "Slots", "Slts", 1), ExitCheckErrors, checker.CodeInvalidSetting},
		"empty settings":      {[]string{"check", "--role", "agent"}, "", ExitCheckErrors, checker.CodeInvalidJSON},
		"platform, too large": {[]string{"platform", "check"}, strings.Repeat(" ", 3<<19+1), ExitCheckErrors, checker.CodeFileTooLarge},
		"platform, no JSON":   {[]string{"platform", "check"}, validRules, ExitCheckErrors, checker.CodeInvalidJSON},
	} {
		t.Run(name, func(t *testing.T) {
			path := writeRulesFile(t, c.text)
			code, out, errOut := runCommand(append(c.args, path)...)
			require.Equal(t, c.code, code, out+errOut)
			require.Contains(t, out, string(c.want))
			require.Less(t, len(out), 1<<20)
			code, out, _ = runCommand(append(c.args, "--format", "json", path)...)
			require.Equal(t, c.code, code)
			var r checker.Report
			require.NoError(t, json.Unmarshal([]byte(out), &r))
			require.Equal(t, c.want == "", len(r.Findings) == 0)
		})
	}
	code, out, _ := runCommand("check", "--format", "json", filepath.Join(t.TempDir(), "none"))
	require.Equal(t, ExitCheckErrors, code)
	require.Contains(t, out, `"Code": "UnreadableFile"`)
	for _, args := range [][]string{{"--format", "xml"}, {"--role", "gate"}} {
		code, _, errOut := runCommand(append([]string{"check", writeRulesFile(t, validRules)}, args...)...)
		require.Equal(t, ExitUsage, code)
		require.Contains(t, errOut, "Usage:")
	}
}

// serveInForce starts a control instance with a version in force. A failure is the name of the procedure that fails.
func serveInForce(t *testing.T, current messenger.CurrentResponse, failure string) string {
	mux := http.NewServeMux()
	failed := func(name string) error {
		if name == failure {
			return &Error{cherviltide.Fault{Op: "test", Kind: cherviltide.KindInvalid, Err: errors.New("because")}}
		}
		return nil
	}
	messenger.Current.Handle(mux, func(context.Context, *messenger.CurrentRequest) (*messenger.CurrentResponse, error) {
		return &current, failed("Current")
	})
	messenger.History.Handle(mux, func(context.Context, *messenger.HistoryRequest) (*messenger.HistoryResponse, error) {
		return &messenger.HistoryResponse{Revisions: []messenger.RevisionSummary{{Revision: 4, Operator: "emre"}}}, failed("History")
	})
	messenger.Rules.Handle(mux, func(context.Context, *messenger.RulesRequest) (*messenger.RulesResponse, error) {
		return &messenger.RulesResponse{Revision: 4, Rules: []messenger.RuleOrigin{{Line: 1, Operator: "vroni", Revision: 2, Requester: "asked by Rita"}}}, failed("Rules")
	})
	messenger.Status.Handle(mux, func(context.Context, *messenger.StatusRequest) (*messenger.StatusResponse, error) {
		agent := cherviltide.Member{Role: cherviltide.RoleAgent, Service: "desk"}
		return &messenger.StatusResponse{Confirmed: true, Members: []messenger.MemberStatus{
			{Member: agent, OpenFlows: 17, State: cherviltide.StateActive}, {Member: agent, OpenFlows: 5, State: cherviltide.StateDead},
		}}, failed("Status")
	})
	return serve(t, mux, nil)
}

// TestCheckAgainstControl guards against a check that hides what it could not compare, or that shows no local findings then.
func TestCheckAgainstControl(t *testing.T) {
	inForce := messenger.CurrentResponse{Revision: 4, Text: validRules, Confirmed: true}
	changed := strings.Replace(validRules, ":443", ":444", 1)
	other := strings.Replace(validRules, "desk", "other", 1)
	unconfirmed, unreadable, newer := inForce, inForce, inForce
	unconfirmed.Confirmed, unreadable.Text, newer.Revision = false, "{}", 3
	for name, c := range map[string]struct {
		current       messenger.CurrentResponse
		failure, file string
		missing, want string
	}{
		"changed":     {inForce, "", changed, "", "~ Service desk: Address 203.0.113.7:443 -> 203.0.113.7:444\n    line 1 in force: vroni in revision 2 at 1970-01-01T00:00:00Z, asked by Rita\n"},
		"removed":     {inForce, "", other, "", "revision 4 of emre at 1970-01-01T00:00:00Z: 2 entries differ\n- Service desk\n    line 1 in force: vroni in revision 2 at 1970-01-01T00:00:00Z, asked by Rita\n    17 open flows at 1 agents\n+ Service other\n"},
		"first":       {messenger.CurrentResponse{Confirmed: true}, "", changed, "OriginsUnknown", "+ Service desk"},
		"unconfirmed": {unconfirmed, "", changed, "ControlNotConfirmed", "~ Service desk"},
		"unreadable":  {unreadable, "", changed, "VersionInForceUnreadable", "1 services"},
		"no current":  {inForce, "Current", changed, "ControlNotReached", "1 services"},
		"no history":  {inForce, "History", changed, "OriginsUnknown", "~ Service desk"},
		"no origins":  {inForce, "Rules", changed, "OriginsUnknown", "~ Service desk"},
		"newer":       {newer, "", changed, "OriginsUnknown", "~ Service desk"},
		"no status":   {inForce, "Status", other, "OpenFlowsUnknown", "- Service desk"},
		"not valid":   {inForce, "", "Knd", "NotCompared", "UnknownKeyword"},
	} {
		t.Run(name, func(t *testing.T) {
			_, out, errOut := runCommand("check", writeRulesFile(t, c.file), "--control", serveInForce(t, c.current, c.failure))
			require.Contains(t, out, c.want, errOut)
			require.Contains(t, out, c.missing)
			for _, code := range []string{"ControlNotReached", "ControlNotConfirmed", "VersionInForceUnreadable", "OriginsUnknown", "OpenFlowsUnknown", "NotCompared"} {
				require.Equal(t, code == c.missing, strings.Contains(out, "warning "+code), out)
			}
		})
	}
	code, out, _ := runCommand("check", writeRulesFile(t, reachedRules), "--strict", "--timeout", "100ms", "--control", closedAddress(t))
	require.Equal(t, ExitCheckWarnings, code)
	require.Contains(t, out, "ControlNotReached")
}

// TestCheckPage guards against examples in the operators' page without the finding that they show, and against findings that
// the page does not describe.
func TestCheckPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "operators", "check-a-configuration.md"))
	require.NoError(t, err)
	for _, source := range []string{"checker/finding.go", "parser/error.go"} {
		text, err := os.ReadFile(filepath.Join("..", source))
		require.NoError(t, err)
		for _, match := range regexp.MustCompile(` Code += "([A-Za-z]+)"`).FindAllStringSubmatch(string(text), -1) {
			require.Contains(t, string(page), "`"+match[1]+"`")
		}
	}
	sections := regexp.MustCompile("(?m)^\\* `([A-Za-z]+)`[^\n]*\n(?:  [^ \n][^\n]*\n)*\n((?:      [^\n]*\n)+)").FindAllStringSubmatch(string(page), -1)
	require.Greater(t, len(sections), 25)
	for _, s := range sections {
		format := rulesFormat
		example := regexp.MustCompile("(?m)^      ").ReplaceAllString(s[2], "")
		if strings.HasPrefix(example, "{") {
			format = platformFormat
		}
		_, findings := format.check(example, format.limits)
		hasCode := slices.ContainsFunc(findings, func(f checker.Finding) bool { return f.Code == checker.Code(s[1]) })
		require.True(t, hasCode, "%s is not in %+v of %s", s[1], findings, example)
	}
}

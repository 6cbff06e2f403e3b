package commands

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/bench/issuer"
	"cherviltide.example/cherviltide/certifier"
	"cherviltide.example/cherviltide/forwarder"
	"cherviltide.example/cherviltide/holder"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/relayer"
)

const validRules = "Service desk Address 203.0.113.7:443 # asked by Rita\n"

// startControl starts a control instance that handles edits with apply, and returns its address.
func startControl(t *testing.T, apply func(*messenger.ApplyRequest) (*messenger.ApplyResponse, error)) string {
	return startControlTLS(t, nil, apply)
}

func startControlTLS(t *testing.T, config *tls.Config, apply func(*messenger.ApplyRequest) (*messenger.ApplyResponse, error)) string {
	mux := http.NewServeMux()
	messenger.Current.Handle(mux, func(context.Context, *messenger.CurrentRequest) (*messenger.CurrentResponse, error) {
		return &messenger.CurrentResponse{Revision: 4, Text: validRules, Confirmed: false}, nil
	})
	messenger.Apply.Handle(mux, func(_ context.Context, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
		return apply(req)
	})
	messenger.Status.Handle(mux, func(context.Context, *messenger.StatusRequest) (*messenger.StatusResponse, error) {
		members := []messenger.MemberStatus{
			{Member: cherviltide.Member{Name: "slow"}, State: cherviltide.StateActive, RevisionSeen: 5, RevisionInForce: 4},
			{Member: cherviltide.Member{Name: "dead"}, State: cherviltide.StateDead},
		}
		evacuations := []messenger.EvacuationStatus{{FailureDomain: "z1", Operator: "rita", Since: 1_800_000_000_000, Agents: 2, OpenFlows: 17}}
		return &messenger.StatusResponse{Revision: 5, Confirmed: true, Members: members, Evacuations: evacuations}, nil
	})
	messenger.Evacuate.Handle(mux, func(_ context.Context, req *messenger.EvacuateRequest) (*messenger.EvacuateResponse, error) {
		if req.FailureDomain != "z1" || req.Operator != "rita" {
			return nil, &Error{cherviltide.Fault{Op: "test", Kind: cherviltide.KindInvalid, Err: errors.New("known are: z1")}}
		}
		return &messenger.EvacuateResponse{Position: 7}, nil
	})
	return serve(t, mux, config)
}

// serve runs a server until the end of the test, and returns its address.
func serve(t *testing.T, mux *http.ServeMux, config *tls.Config) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := messenger.NewServer(mux, config)
	done := make(chan error, 1)
	go func() {
		if config == nil {
			done <- server.Serve(listener)
		} else {
			done <- server.ServeTLS(listener, "", "")
		}
	}()
	t.Cleanup(func() { _ = server.Close(); <-done })
	return listener.Addr().String()
}

func runCommand(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

func writeRulesFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "rules")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o640))
	return path
}

// closedAddress returns a loopback address on which no process listens.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// TestExitCodes guards against exit codes with which a script cannot tell a refused edit, or one with an unknown outcome,
// from a failed or an accepted one.
func TestExitCodes(t *testing.T) {
	fault := func(kind cherviltide.ErrorKind) error {
		return &Error{cherviltide.Fault{Op: "test", Kind: kind, Err: errors.New("because")}}
	}
	cases := map[string]struct {
		err  error
		args []string
		want int
		text string
	}{
		"accepted":             {nil, nil, ExitDone, ""},
		"conflict":             {fault(cherviltide.KindConflict), nil, ExitConflict, "because"},
		"invalid":              {fault(cherviltide.KindInvalid), nil, ExitFailed, "because"},
		"not run":              {fault(cherviltide.KindUnavailable), nil, ExitRefused, "because"},
		"unknown":              {fault(cherviltide.KindInternal), []string{"--edit-id", "x"}, ExitUnknown, "--edit-id x --base 4"},
		"lagging":              {nil, []string{"--wait", "300ms"}, ExitLagging, "lagging: slow (4)"},
		"incomplete TLS flags": {nil, []string{"--key", "k"}, ExitUsage, "given together"},
		"wrong option":         {nil, []string{"--bse", "3"}, ExitUsage, "Usage: cherviltide apply"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address := startControl(t, func(*messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
				return &messenger.ApplyResponse{Revision: 5}, c.err
			})
			// Attempts are 250 ms apart. The timeout falls between two of them, because an attempt that it interrupts has an
			// unknown outcome.
			args := append([]string{"apply", writeRulesFile(t, validRules), "--operator", "rita", "--timeout", "1400ms", "--control", address}, c.args...)
			code, _, errOut := runCommand(args...)
			require.Equal(t, c.want, code, errOut)
			require.Contains(t, errOut, c.text)
		})
	}
}

// TestApplyRetries guards against an edit whose base or ID changes when it is sent to another instance.
func TestApplyRetries(t *testing.T) {
	var seen []messenger.ApplyRequest
	address := startControl(t, func(req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
		seen = append(seen, *req)
		if len(seen) < 3 {
			return nil, &Error{cherviltide.Fault{Op: "test", Kind: cherviltide.KindUnavailable, Err: errors.New("no leader")}}
		}
		return &messenger.ApplyResponse{Revision: 5}, nil
	})
	code, out, errOut := runCommand("apply", writeRulesFile(t, validRules), "--operator", "rita", "--control", closedAddress(t), address)
	require.Equal(t, ExitDone, code, errOut)
	require.Contains(t, out, "accepted as revision 5")
	require.Len(t, seen, 3)
	require.Equal(t, seen[0], seen[2])
	require.EqualValues(t, 4, seen[0].Base)
}

// TestNoControl guards against a command that reports an unknown outcome although no connection was established.
func TestNoControl(t *testing.T) {
	for _, args := range [][]string{{"apply", writeRulesFile(t, validRules), "--operator", "r"}, {"status"}, {"drain", "x"}, {"evacuate", "x"}, {"history"}, {"rules"}, {"report"}, {"rollback", "1"}} {
		code, _, errOut := runCommand(append(args, "--timeout", "100ms", "--control", closedAddress(t))...)
		require.Equal(t, ExitRefused, code, "%v: %s", args, errOut)
	}
	code, _, _ := runCommand("status")
	require.Equal(t, ExitUsage, code)
}

// TestFileCommands guards against a format command that loses the content, the mode or the symbolic link of the file, and
// against problems without their position.
func TestFileCommands(t *testing.T) {
	path := writeRulesFile(t, "Service   desk Address 203.0.113.7:443# asked by Rita")
	link := filepath.Join(t.TempDir(), "link")
	require.NoError(t, os.Symlink(path, link))
	code, out, _ := runCommand("format", link)
	require.Equal(t, validRules, out)
	require.Zero(t, code)
	code, _, errOut := runCommand("format", "-w", link)
	require.Zero(t, code, errOut)
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, validRules, string(data))
	info, err := os.Stat(path)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o640), info.Mode())
	entries, err := os.ReadDir(filepath.Dir(path))
	require.NoError(t, err)
	require.Len(t, entries, 1, "a temporary file was left behind")
	code, out, _ = runCommand("check", path)
	require.Zero(t, code)
	require.Contains(t, out, "1 services, 0 kinds, 0 customers")
	bad := writeRulesFile(t, "Servise x # R")
	code, out, errOut = runCommand("check", bad)
	require.Equal(t, ExitCheckErrors, code)
	require.Contains(t, out, bad+":1:1: error UnknownKeyword: found")
	require.Contains(t, errOut, "1 errors")
	code, _, _ = runCommand("check", filepath.Join(t.TempDir(), "none"))
	require.Equal(t, ExitCheckErrors, code)
}

// TestDiffAndStatus guards against responses of an instance without a majority that are shown without a warning.
func TestDiffAndStatus(t *testing.T) {
	address := startControl(t, nil)
	code, out, errOut := runCommand("diff", writeRulesFile(t, validRules+"# note\n"), "--control", address)
	require.Zero(t, code)
	require.Equal(t, "+2: # note\n", out)
	require.Contains(t, errOut, "could not reach a majority")
	code, out, _ = runCommand("status", "--json", "--control", address)
	require.Zero(t, code)
	require.Contains(t, out, `"RevisionInForce": 4`)
}

// TestEvacuate guards against an operator who takes a refused order for an accepted one, or a domain for empty while flows are
// open there.
func TestEvacuate(t *testing.T) {
	address := startControl(t, nil)
	for name, test := range map[string]struct {
		args []string
		code int
		want string
	}{
		"order":           {[]string{"evacuate", "z1"}, ExitDone, "z1 is evacuated at membership position 7"},
		"withdrawal":      {[]string{"evacuate", "z1", "--withdraw"}, ExitDone, "z1 is restored at membership position 7"},
		"unknown domain":  {[]string{"evacuate", "z2"}, ExitFailed, "known are: z1"},
		"open flows":      {[]string{"evacuate", "z1", "--wait", "300ms"}, ExitLagging, "z1: 17 open flows at 2 agents"},
		"contradiction":   {[]string{"evacuate", "z1", "--wait", "1s", "--withdraw"}, ExitUsage, "--withdraw"},
		"shown by status": {[]string{"status"}, ExitDone, "z1         2027-01-15T08:00:00Z  rita      2       17"},
	} {
		t.Run(name, func(t *testing.T) {
			args := append(test.args, "--control", address)
			if test.args[0] == "evacuate" {
				args = append(args, "--operator", "rita")
			}
			code, out, errOut := runCommand(args...)
			require.Equal(t, test.code, code, errOut)
			require.Contains(t, out+errOut, test.want)
		})
	}
}

// TestHelp guards against commands without help or an example.
func TestHelp(t *testing.T) {
	for _, name := range []string{"check", "format", "diff", "apply", "rollback", "rules", "history", "status", "drain", "evacuate", "report", "settings", "version"} {
		code, out, _ := runCommand(name, "--help")
		require.Zero(t, code)
		require.Contains(t, out, "Example:\n  cherviltide "+name)
	}
	code, out, _ := runCommand("version")
	require.Zero(t, code)
	require.Contains(t, out, "cherviltide ")
	_, out, _ = runCommand("--help")
	require.Contains(t, out, "Exit codes:")
}

// TestOperatorTLS guards against a command that accepts a control instance with a certificate of another authority or role,
// and against a control instance that serves a caller without an operator's certificate.
func TestOperatorTLS(t *testing.T) {
	ownAuthority, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	otherAuthority, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	serve := func(role string) string {
		certificate, key, err := ownAuthority.IssueRole("server-"+role, role, net.IPv4(127, 0, 0, 1))
		require.NoError(t, err)
		config, err := certifier.ServerConfig(certifier.Files{Certificate: certificate, Key: key, Authority: ownAuthority.AuthorityPath()}, "h2")
		require.NoError(t, err)
		return startControlTLS(t, config, nil)
	}
	address, impostor := serve("Control"), serve("Agent")
	cases := map[string]struct {
		issuedBy, trusts *issuer.Issuer
		role, address    string
		want             int
	}{
		"operator":                       {ownAuthority, ownAuthority, "Operator", address, ExitDone},
		"agent":                          {ownAuthority, ownAuthority, "Agent", address, ExitFailed},
		"no role":                        {ownAuthority, ownAuthority, "", address, ExitFailed},
		"operator of another authority":  {otherAuthority, ownAuthority, "Operator", address, ExitRefused},
		"control of another authority":   {ownAuthority, otherAuthority, "Operator", address, ExitRefused},
		"agent in place of control":      {ownAuthority, ownAuthority, "Operator", impostor, ExitRefused},
		"operator without a certificate": {nil, ownAuthority, "", address, ExitRefused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			args := []string{"status", "--timeout", "200ms", "--control", c.address}
			if c.issuedBy != nil {
				certificate, key, err := c.issuedBy.IssueRole("rita", c.role)
				require.NoError(t, err)
				args = append(args, "--certificate", certificate, "--key", key, "--authority", c.trusts.AuthorityPath())
			}
			code, _, errOut := runCommand(args...)
			require.Equal(t, c.want, code, errOut)
		})
	}
}

// TestMetricsAreDocumented guards against counters that docs/metrics.md does not describe.
func TestMetricsAreDocumented(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "docs", "metrics.md"))
	require.NoError(t, err)
	var names []string
	for _, r := range forwarder.Reasons() {
		names = append(names, "Forwarder.Dropped."+r.String())
	}
	for prefix, kind := range map[string]reflect.Type{
		"Forwarder": reflect.TypeFor[forwarder.Counters](), "Holder": reflect.TypeFor[holder.Counters](),
		"Relayer": reflect.TypeFor[relayer.Counters](), "Link": reflect.TypeFor[forwarder.LinkCounters](),
	} {
		for _, f := range reflect.VisibleFields(kind) {
			if f.IsExported() {
				names = append(names, prefix+"."+f.Name)
			}
		}
	}
	for _, name := range names {
		require.True(t, strings.Contains(string(text), "`"+name+"`"), "docs/metrics.md does not describe %s", name)
	}
}

// TestMetricNamesAreDocumented guards against metrics of the platform's daemons and of control that docs/metrics.md does not
// describe.
func TestMetricNamesAreDocumented(t *testing.T) {
	checkDocumented(t, regexp.MustCompile(`\.Metric\("([A-Z][A-Za-z.]*[A-Za-z])"`), "metrics.md")
}

// TestEventsAreDocumented guards against log events that docs/logs.md does not describe.
func TestEventsAreDocumented(t *testing.T) {
	checkDocumented(t, regexp.MustCompile(`(?:\.(?:Info|Warn|Error)\(|Check\(zap\.InfoLevel, |: )"([A-Z][a-z]+[A-Z][A-Za-z]+)"`), "logs.md")
}

// checkDocumented requires that a page of docs contains each name that the pattern matches in the sources of the daemons.
func checkDocumented(t *testing.T, pattern *regexp.Regexp, page string) {
	text, err := os.ReadFile(filepath.Join("..", "docs", page))
	require.NoError(t, err)
	packages := []string{"relayer", "platform", "forwarder", "controller", "follower", "logger", "prober", "supervisor"}
	found := 0
	for _, pkg := range packages {
		files, err := filepath.Glob(filepath.Join("..", pkg, "*.go"))
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, match := range pattern.FindAllStringSubmatch(string(source), -1) {
				found++
				require.True(t, strings.Contains(string(text), "`"+match[1]+"`"), "docs/%s does not describe %s (%s)", page, match[1], file)
			}
		}
	}
	require.Positive(t, found)
}

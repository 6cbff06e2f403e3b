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

const first = "Service desk Address 203.0.113.7:443 # asked by Rita\n"

// control is a control instance with a fixed answer to edits.
func control(t *testing.T, apply func(*messenger.ApplyRequest) (*messenger.ApplyResponse, error)) string {
	return controlTLS(t, nil, apply)
}

func controlTLS(t *testing.T, config *tls.Config, apply func(*messenger.ApplyRequest) (*messenger.ApplyResponse, error)) string {
	mux := http.NewServeMux()
	messenger.Current.Handle(mux, func(context.Context, *messenger.CurrentRequest) (*messenger.CurrentResponse, error) {
		return &messenger.CurrentResponse{Revision: 4, Text: first, Confirmed: false}, nil
	})
	messenger.Apply.Handle(mux, func(_ context.Context, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
		return apply(req)
	})
	messenger.Status.Handle(mux, func(context.Context, *messenger.StatusRequest) (*messenger.StatusResponse, error) {
		members := []messenger.MemberStatus{
			{Member: cherviltide.Member{Name: "slow"}, State: cherviltide.StateActive, RevisionSeen: 5, RevisionInForce: 4},
			{Member: cherviltide.Member{Name: "gone"}, State: cherviltide.StateDead},
		}
		return &messenger.StatusResponse{Revision: 5, Confirmed: true, Members: members}, nil
	})
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

func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

func rulesFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "rules")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o640))
	return path
}

// closedAddress returns a loopback address at which nobody listens.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// TestExitCodes guards against a script that takes a refused or unknown edit for a failed or accepted one.
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
		"accepted":     {nil, nil, ExitDone, ""},
		"conflict":     {fault(cherviltide.KindConflict), nil, ExitConflict, "because"},
		"invalid":      {fault(cherviltide.KindInvalid), nil, ExitFailed, "because"},
		"not run":      {fault(cherviltide.KindUnavailable), nil, ExitRefused, "because"},
		"unknown":      {fault(cherviltide.KindInternal), []string{"--edit-id", "x"}, ExitUnknown, "--edit-id x --base 4"},
		"lagging":      {nil, []string{"--wait", "300ms"}, ExitLagging, "lagging: slow (4)"},
		"half of TLS":  {nil, []string{"--key", "k"}, ExitUsage, "given together"},
		"wrong option": {nil, []string{"--bse", "3"}, ExitUsage, "Usage: cherviltide apply"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address := control(t, func(*messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
				return &messenger.ApplyResponse{Revision: 5}, c.err
			})
			// The bound lies between two attempts, which are 250 ms apart; one that the bound cuts counts as unknown.
			args := append([]string{"apply", rulesFile(t, first), "--operator", "rita", "--timeout", "1400ms", "--control", address}, c.args...)
			code, _, errOut := run(args...)
			require.Equal(t, c.want, code, errOut)
			require.Contains(t, errOut, c.text)
		})
	}
}

// TestApplyRetries guards against an edit that changes its base or ID when it is sent to another instance.
func TestApplyRetries(t *testing.T) {
	var seen []messenger.ApplyRequest
	address := control(t, func(req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
		seen = append(seen, *req)
		if len(seen) < 3 {
			return nil, &Error{cherviltide.Fault{Op: "test", Kind: cherviltide.KindUnavailable, Err: errors.New("no leader")}}
		}
		return &messenger.ApplyResponse{Revision: 5}, nil
	})
	code, out, errOut := run("apply", rulesFile(t, first), "--operator", "rita", "--control", closedAddress(t), address)
	require.Equal(t, ExitDone, code, errOut)
	require.Contains(t, out, "accepted as revision 5")
	require.Len(t, seen, 3)
	require.Equal(t, seen[0], seen[2])
	require.EqualValues(t, 4, seen[0].Base)
}

// TestNoControl guards against a lost connection that looks like an unknown result.
func TestNoControl(t *testing.T) {
	for _, args := range [][]string{{"apply", rulesFile(t, first), "--operator", "r"}, {"status"}, {"drain", "x"}, {"history"}, {"rules"}, {"report"}, {"rollback", "1"}} {
		code, _, errOut := run(append(args, "--timeout", "100ms", "--control", closedAddress(t))...)
		require.Equal(t, ExitRefused, code, "%v: %s", args, errOut)
	}
	code, _, _ := run("status")
	require.Equal(t, ExitUsage, code)
}

// TestFileCommands guards against a format that loses the file, and against problems without their place.
func TestFileCommands(t *testing.T) {
	path := rulesFile(t, "Service   desk Address 203.0.113.7:443# asked by Rita")
	link := filepath.Join(t.TempDir(), "link")
	require.NoError(t, os.Symlink(path, link))
	code, out, _ := run("format", link)
	require.Equal(t, first, out)
	require.Zero(t, code)
	code, _, errOut := run("format", "-w", link)
	require.Zero(t, code, errOut)
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, first, string(data))
	info, err := os.Stat(path)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o640), info.Mode())
	left, err := os.ReadDir(filepath.Dir(path))
	require.NoError(t, err)
	require.Len(t, left, 1, "no temporary file stays")
	code, out, _ = run("check", path)
	require.Zero(t, code)
	require.Contains(t, out, "1 services, 0 kinds, 0 customers")
	bad := rulesFile(t, "Servise x # R")
	code, _, errOut = run("check", bad)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, errOut, bad+":1:1: found")
	code, _, _ = run("check", filepath.Join(t.TempDir(), "none"))
	require.Equal(t, ExitFailed, code)
}

// TestDiffAndStatus guards against answers of an instance without a majority that look current.
func TestDiffAndStatus(t *testing.T) {
	address := control(t, nil)
	code, out, errOut := run("diff", rulesFile(t, first+"# note\n"), "--control", address)
	require.Zero(t, code)
	require.Equal(t, "+2: # note\n", out)
	require.Contains(t, errOut, "could not reach a majority")
	code, out, _ = run("status", "--json", "--control", address)
	require.Zero(t, code)
	require.Contains(t, out, `"RevisionInForce": 4`)
}

// TestHelp guards against commands without help or example.
func TestHelp(t *testing.T) {
	for _, name := range []string{"check", "format", "diff", "apply", "rollback", "rules", "history", "status", "drain", "report", "settings", "version"} {
		code, out, _ := run(name, "--help")
		require.Zero(t, code)
		require.Contains(t, out, "Example:\n  cherviltide "+name)
	}
	code, out, _ := run("version")
	require.Zero(t, code)
	require.Contains(t, out, "cherviltide ")
	_, out, _ = run("--help")
	require.Contains(t, out, "Exit codes:")
}

// TestOperatorTLS guards against an operator's command that talks to a control instance of another authority, or that
// control serves without a certificate.
func TestOperatorTLS(t *testing.T) {
	ours, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	others, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	serve := func(role string) string {
		certificate, key, err := ours.IssueRole("server", role, net.IPv4(127, 0, 0, 1))
		require.NoError(t, err)
		config, err := certifier.Server(certifier.Files{Certificate: certificate, Key: key, Authority: ours.Authority()}, "h2")
		require.NoError(t, err)
		return controlTLS(t, config, nil)
	}
	address, impostor := serve("Control"), serve("Agent")
	cases := map[string]struct {
		from, trusts  *issuer.Issuer
		role, address string
		want          int
	}{
		"operator":                {ours, ours, "Operator", address, ExitDone},
		"agent":                   {ours, ours, "Agent", address, ExitFailed},
		"no role":                 {ours, ours, "", address, ExitFailed},
		"strange operator":        {others, ours, "Operator", address, ExitRefused},
		"strange control":         {ours, others, "Operator", address, ExitRefused},
		"agent plays control":     {ours, ours, "Operator", impostor, ExitRefused},
		"operator without a file": {nil, ours, "", address, ExitRefused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			args := []string{"status", "--timeout", "200ms", "--control", c.address}
			if c.from != nil {
				certificate, key, err := c.from.IssueRole("rita", c.role)
				require.NoError(t, err)
				args = append(args, "--certificate", certificate, "--key", key, "--authority", c.trusts.Authority())
			}
			code, _, errOut := run(args...)
			require.Equal(t, c.want, code, errOut)
		})
	}
}

// TestMetricsAreDocumented guards against counters without a meaning and a unit in docs/metrics.md.
func TestMetricsAreDocumented(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "docs", "metrics.md"))
	require.NoError(t, err)
	var names []string
	for _, r := range forwarder.Reasons() {
		names = append(names, "Forwarder.Dropped."+r.String())
	}
	for prefix, kind := range map[string]reflect.Type{
		"Forwarder": reflect.TypeFor[forwarder.Counters](), "Holder": reflect.TypeFor[holder.Counters](),
		"Relayer": reflect.TypeFor[relayer.Counters](),
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

// TestMetricNamesAreDocumented guards against metrics of the platform's daemons and of control without a meaning and a unit.
func TestMetricNamesAreDocumented(t *testing.T) {
	checkDocumented(t, regexp.MustCompile(`\.Metric\("([A-Z][A-Za-z.]*[A-Za-z])"`), "metrics.md")
}

// TestEventsAreDocumented guards against log lines whose event and fields docs/logs.md does not explain.
func TestEventsAreDocumented(t *testing.T) {
	checkDocumented(t, regexp.MustCompile(`(?:\.(?:Info|Warn|Error)\(|Check\(zap\.InfoLevel, |: )"([A-Z][a-z]+[A-Z][A-Za-z]+)"`), "logs.md")
}

// checkDocumented requires that each name that a pattern finds in the sources of the daemons stands in a page.
func checkDocumented(t *testing.T, pattern *regexp.Regexp, page string) {
	text, err := os.ReadFile(filepath.Join("..", "docs", page))
	require.NoError(t, err)
	folders := []string{"relayer", "platform", "forwarder", "controller", "follower", "logger", "prober", "supervisor"}
	found := 0
	for _, folder := range folders {
		files, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
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

package launcher_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/bench/launcher"
	"cherviltide.example/cherviltide/bench/responder"
	"cherviltide.example/cherviltide/commands"
)

// runCommand runs an operator's command against a system, checks its exit code and returns its output.
func runCommand(ctx context.Context, t *testing.T, s *launcher.System, exitCode int, args ...string) string {
	t.Helper()
	var out, errOut bytes.Buffer
	identity := s.Operator
	args = append(args, "--certificate", identity.Certificate, "--key", identity.Key, "--authority", identity.Authority, "--control", s.ControlAddresses[0].String())
	require.Equal(t, exitCode, commands.Run(ctx, args, &out, &errOut), "%v: %s", args, errOut.String())
	return out.String()
}

// Guards against a drain that interrupts a download in progress, that leaves the target in use, or that never ends.
func TestDrainFinishesDownload(t *testing.T) {
	s := startSystem(t)
	c := newCaller(t, s, s.Plan.Customer)
	res, err := c.Open(t.Context(), s.URL(s.Plan.Services[charts])+"/charts/world?bytes="+fmt.Sprint(chartSize))
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	target := res.Header.Get(responder.HeaderTarget)
	firstBytes := make([]byte, readSize)
	_, err = io.ReadFull(res.Body, firstBytes)
	require.NoError(t, err)

	require.Equal(t, target+" is Leaving\n", runCommand(t.Context(), t, s, commands.ExitDone, "drain", target, "--operator", "rita"))
	runCommand(t.Context(), t, s, commands.ExitLagging, "drain", target, "--operator", "rita", "--wait", "300ms")
	rest, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.True(t, bytes.Equal(responder.Body("/charts/world", chartSize), append(firstBytes, rest...)), "download is corrupted")
	require.NoError(t, c.Close())
	runCommand(t.Context(), t, s, commands.ExitDone, "drain", target, "--operator", "rita", "--wait", "1m")
	require.NoError(t, s.Processes[target].Wait(), "agent did not end with exit code 0")
}

// Guards against a history or rule origins that do not show the edits of the operators, a conflicting edit that is
// accepted, and a rollback that does not restore the old rules.
func TestOperatorsSeeTheirEdits(t *testing.T) {
	s := startSystem(t)
	path := filepath.Join(t.TempDir(), "rules")
	rules := s.Rules() + "Customer padma-charter Services advisory-desk # asked by Farhan Ali\n"
	require.NoError(t, os.WriteFile(path, []byte(rules), 0o600))
	require.Contains(t, runCommand(t.Context(), t, s, commands.ExitDone, "diff", path), "Customer padma-charter")
	require.Contains(t, runCommand(t.Context(), t, s, commands.ExitDone, "apply", path, "--operator", "rita", "--wait", "30s"), "accepted as revision 2")
	require.Empty(t, runCommand(t.Context(), t, s, commands.ExitDone, "diff", path))
	require.Regexp(t, `Customer padma-charter .* asked by Farhan Ali +2 +rita`, runCommand(t.Context(), t, s, commands.ExitDone, "rules"))
	runCommand(t.Context(), t, s, commands.ExitConflict, "apply", path, "--operator", "late", "--base", "1")
	runCommand(t.Context(), t, s, commands.ExitDone, "rollback", "1", "--operator", "amir", "--wait", "30s")
	history := runCommand(t.Context(), t, s, commands.ExitDone, "history")
	require.Regexp(t, `(?s)3 .* amir +0 +1 .*2 .* rita +1 +0 .*1 .* demo `, history)
	require.NotContains(t, runCommand(t.Context(), t, s, commands.ExitDone, "rules"), "padma-charter")
	runCommand(t.Context(), t, s, commands.ExitFailed, "rollback", "9", "--operator", "amir")
}

// Guards against a process that reports that it is not ready although the system serves callers.
func TestReadiness(t *testing.T) {
	s := startSystem(t)
	for name, address := range s.Probes {
		res, err := http.Get("http://" + address.String() + "/ready")
		require.NoError(t, err)
		body, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		require.Equal(t, http.StatusOK, res.StatusCode, "%s: %s", name, body)
	}
}

// Guards against requests that are missing or counted twice in the report of the agents' counters, also after an agent has
// ended.
func TestReportCountsRequests(t *testing.T) {
	s := startSystem(t)
	for range 7 {
		response, err := newCaller(t, s, s.Plan.Customer).Get(t.Context(), s.URL(s.Plan.Services[advisory]), "/advisories/VECC", 2000)
		require.NoError(t, err)
		require.True(t, response.Complete)
	}
	allCounted := func() bool {
		return strings.Contains(runCommand(t.Context(), t, s, commands.ExitDone, "report", "--json"), `"Timely": 7,`)
	}
	require.Eventually(t, allCounted, time.Minute, 100*time.Millisecond)
	require.NoError(t, s.Signal(s.Plan.Services[advisory].Name+"-1", syscall.SIGTERM))
	waitEnded(t, s, s.Plan.Services[advisory].Name+"-1")
	require.True(t, allCounted(), "the report lost the counts of an ended agent")
}

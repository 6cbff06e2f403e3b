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

// operate runs an operator's command against a system and returns its output.
func operate(ctx context.Context, t *testing.T, s *launcher.System, want int, args ...string) string {
	t.Helper()
	var out, errOut bytes.Buffer
	o := s.Operator
	args = append(args, "--certificate", o.Certificate, "--key", o.Key, "--authority", o.Authority, "--control", s.Control[0].String())
	require.Equal(t, want, commands.Run(ctx, args, &out, &errOut), "%v: %s", args, errOut.String())
	return out.String()
}

// Guards against a drain that cuts a download under way, that leaves the target in use or that never ends.
func TestDrainFinishesDownload(t *testing.T) {
	s := startSystem(t)
	c := newCaller(t, s, s.Plan.Customer)
	res, err := c.Open(t.Context(), s.URL(s.Plan.Services[charts])+"/charts/world?bytes="+fmt.Sprint(chartBytes))
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	holder := res.Header.Get(responder.HeaderTarget)
	head := make([]byte, firstRead)
	_, err = io.ReadFull(res.Body, head)
	require.NoError(t, err)

	require.Equal(t, holder+" is Leaving\n", operate(t.Context(), t, s, commands.ExitDone, "drain", holder, "--operator", "rita"))
	operate(t.Context(), t, s, commands.ExitLagging, "drain", holder, "--operator", "rita", "--wait", "300ms")
	rest, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.True(t, bytes.Equal(responder.Body("/charts/world", chartBytes), append(head, rest...)), "download is damaged")
	require.NoError(t, c.Close())
	operate(t.Context(), t, s, commands.ExitDone, "drain", holder, "--operator", "rita", "--wait", "1m")
	require.NoError(t, s.Processes[holder].Wait(), "the agent ends with exit code 0")
}

// Guards against a history, an origin or a rollback that differs from what operators did.
func TestOperatorsSeeTheirEdits(t *testing.T) {
	s := startSystem(t)
	path := filepath.Join(t.TempDir(), "rules")
	second := s.Rules() + "Customer padma-charter Services advisory-desk # asked by Farhan Ali\n"
	require.NoError(t, os.WriteFile(path, []byte(second), 0o600))
	require.Contains(t, operate(t.Context(), t, s, commands.ExitDone, "diff", path), "Customer padma-charter")
	require.Contains(t, operate(t.Context(), t, s, commands.ExitDone, "apply", path, "--operator", "rita", "--wait", "30s"), "accepted as revision 2")
	require.Empty(t, operate(t.Context(), t, s, commands.ExitDone, "diff", path))
	require.Regexp(t, `Customer padma-charter .* asked by Farhan Ali +2 +rita`, operate(t.Context(), t, s, commands.ExitDone, "rules"))
	operate(t.Context(), t, s, commands.ExitConflict, "apply", path, "--operator", "late", "--base", "1")
	operate(t.Context(), t, s, commands.ExitDone, "rollback", "1", "--operator", "amir", "--wait", "30s")
	history := operate(t.Context(), t, s, commands.ExitDone, "history")
	require.Regexp(t, `(?s)3 .* amir +0 +1 .*2 .* rita +1 +0 .*1 .* demo `, history)
	require.NotContains(t, operate(t.Context(), t, s, commands.ExitDone, "rules"), "padma-charter")
	operate(t.Context(), t, s, commands.ExitFailed, "rollback", "9", "--operator", "amir")
}

// Guards against a readiness that differs from whether a process serves callers.
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

// Guards against requests that the report of the agents' counters misses or counts twice.
func TestReportCountsRequests(t *testing.T) {
	s := startSystem(t)
	for range 7 {
		a, err := newCaller(t, s, s.Plan.Customer).Get(t.Context(), s.URL(s.Plan.Services[advisory]), "/advisories/VECC", 2000)
		require.NoError(t, err)
		require.True(t, a.Whole)
	}
	counted := func() bool {
		return strings.Contains(operate(t.Context(), t, s, commands.ExitDone, "report", "--json"), `"Timely": 7,`)
	}
	require.Eventually(t, counted, time.Minute, 100*time.Millisecond)
	require.NoError(t, s.Signal(s.Plan.Services[advisory].Name+"-1", syscall.SIGTERM))
	waitEnded(t, s, s.Plan.Services[advisory].Name+"-1")
	require.True(t, counted(), "the counts of an agent stay after its end")
}

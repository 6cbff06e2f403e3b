package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/explainer"
)

// TestExplain guards against an explanation without the deciding line, and against success for a flow that no line names.
func TestExplain(t *testing.T) {
	logPath := filepath.Join(t.TempDir(), "agent-1.log")
	require.NoError(t, os.WriteFile(logPath, []byte(
		`{"Level":"info","Time":"2026-12-04T12:00:00.5Z","Event":"FlowRefused","Flow":"f1","Reason":"Unavailable","Active":2,"Slots":2}`+"\n"+
			"not a line\n"), 0o600))
	run := func(args ...string) (int, string) {
		var out, errOut bytes.Buffer
		code := Run(context.Background(), append([]string{"explain"}, args...), &out, &errOut)
		return code, out.String() + errOut.String()
	}
	code, text := run("--flow", "f1", logPath)
	require.Equal(t, ExitDone, code)
	require.Contains(t, text, "*  12:00:00.500000 agent-1          FlowRefused        Active=2 Reason=Unavailable Slots=2\n")
	require.Contains(t, text, "Cause: FlowRefused at agent-1: every agent that was asked is full")
	require.Contains(t, text, "1 lines could not be read")
	code, text = run("--flow", "f1", "--json", logPath)
	require.Equal(t, ExitDone, code)
	var report explainer.Report
	require.NoError(t, json.Unmarshal([]byte(text), &report))
	require.True(t, report.Lines[0].Deciding)
	code, text = run("--flow", "f2", logPath)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, text, "no line names the flow")
	code, _ = run("--flow", "f1", filepath.Join(t.TempDir(), "missing.log"))
	require.Equal(t, ExitFailed, code)
	code, _ = run(logPath)
	require.Equal(t, ExitUsage, code)
}

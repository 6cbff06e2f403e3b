package explainer

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writeLogs writes one log file per process and returns their paths.
func writeLogs(t *testing.T, processes map[string][]string) []string {
	dir := t.TempDir()
	var paths []string
	for _, name := range []string{"entry-1", "agent-1", "agent-2", "collected"} {
		lines, ok := processes[name]
		if !ok {
			continue
		}
		path := filepath.Join(dir, name+".log")
		require.NoError(t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
		paths = append(paths, path)
	}
	return paths
}

// logLine returns a log line with a time in seconds after 12:00:00, an event and further JSON fields.
func logLine(seconds float64, event, fields string) string {
	at := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC).Add(time.Duration(seconds * float64(time.Second)))
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"Level":"info","Time":%q,"Event":%q%s}`, at.Format(time.RFC3339Nano), event, fields)
}

const flowFields = `"Flow":"f1","Copy":0,"Sequence":7,"Generation":117156106913841185`

// TestExplain guards against an explanation that marks a line which did not decide how the flow ended, and against lines out
// of their causal order when clocks differ.
func TestExplain(t *testing.T) {
	routed := logLine(1, "FlowRouted", `"Flow":"f1","Agent":"agent-1"`)
	for name, test := range map[string]struct {
		logs map[string][]string
		// want has the processes and events in order; "*" marks the deciding line, "~" a line with ClockOff.
		want  string
		cause string
	}{
		"refused": {map[string][]string{
			"entry-1": {routed, logLine(1.1, "FlowRouted", `"Flow":"f2","Agent":"agent-1"`)},
			"agent-1": {logLine(1.01, "FlowOffered", flowFields+`,"Hops":1,"Reason":"Offered"`), logLine(1.03, "FlowRefused", flowFields+`,"Hops":3,"Reason":"Unavailable"`)},
			"agent-2": {logLine(1.02, "FlowDeclined", flowFields+`,"Hops":2,"Reason":"Declined"`)},
		}, "entry-1 FlowRouted, agent-1 FlowOffered, agent-2 FlowDeclined, *agent-1 FlowRefused", "every agent that was asked is full"},
		"refused after a wait": {map[string][]string{
			"entry-1": {routed},
			"agent-1": {logLine(1.01, "FlowWaits", flowFields+`,"Hops":1,"Reason":"Waiting"`), logLine(2.4, "FlowRefused", flowFields+`,"Hops":1,"Reason":"Overloaded"`)},
		}, "entry-1 FlowRouted, agent-1 FlowWaits, *agent-1 FlowRefused", "before its caller gave up"},
		"clock of an agent is 10 s behind": {map[string][]string{
			"entry-1": {routed},
			"agent-1": {logLine(-8.99, "FlowOffered", flowFields+`,"Hops":1,"Reason":"Offered"`), logLine(-8.97, "FlowRefused", flowFields+`,"Hops":3,"Reason":"Unavailable"`)},
			"agent-2": {logLine(1.02, "FlowDeclined", flowFields+`,"Hops":2,"Reason":"Declined"`)},
		}, "entry-1 FlowRouted, ~agent-1 FlowOffered, agent-2 FlowDeclined, *~agent-1 FlowRefused", "FlowRefused at agent-1"},
		"clock is stepped back in the log": {map[string][]string{
			"agent-1": {logLine(5, "FlowOpened", flowFields+`,"Hops":1`), logLine(2, "PacketDropped", flowFields+`,"Hops":1,"Reason":"Gone"`)},
		}, "agent-1 FlowOpened, *~agent-1 PacketDropped", "it has restarted"},
		"target fails while a flow is open": {map[string][]string{
			"entry-1": {routed},
			"agent-1": {logLine(0.2, "TargetBeat", `"Replaced":false`), logLine(1.01, "FlowOpened", flowFields+`,"Hops":1`), logLine(3, "TargetGone", "")},
		}, "agent-1 TargetBeat, entry-1 FlowRouted, agent-1 FlowOpened, *agent-1 TargetGone", "open here when its target went away"},
		"served": {map[string][]string{
			"entry-1": {routed}, "agent-1": {logLine(1.01, "FlowOpened", flowFields+`,"Hops":1`)},
		}, "entry-1 FlowRouted, *agent-1 FlowOpened", "nothing was refused or dropped later"},
		"agent restarts as the packet arrives": {map[string][]string{
			"entry-1": {routed}, "agent-1": {logLine(0.5, "ProcessEnded", ""), logLine(60, "AgentStarted", `"Name":"agent-1"`)},
		}, "*agent-1 ProcessEnded, entry-1 FlowRouted", "logged nothing of it"},
		"no log of the agent": {map[string][]string{"entry-1": {routed}}, "*entry-1 FlowRouted", "its log is missing"},
		"flow without lines":  {map[string][]string{"entry-1": {logLine(1, "EntryStarted", "")}}, "", "no line names the flow"},
		"one collected log": {map[string][]string{"collected": {
			"12.001 entry-1: " + routed, "", "12.002 agent-1: " + logLine(1.01, "FlowOpened", flowFields+`,"Hops":1`), "12.003 agent-1: not JSON",
		}}, "entry-1 FlowRouted, *agent-1 FlowOpened", "FlowOpened at agent-1"},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := Explain("f1", writeLogs(t, test.logs), DefaultAround)
			require.NoError(t, err)
			var got []string
			for _, l := range r.Lines {
				mark := ""
				if l.Deciding {
					mark = "*"
				}
				if l.ClockOff {
					mark += "~"
				}
				got = append(got, mark+l.Process+" "+l.Event)
			}
			require.Equal(t, test.want, strings.Join(got, ", "))
			require.Contains(t, r.Cause, test.cause)
		})
	}
}

// TestUnreadAndLeftOut guards against lines that are unreadable or were left out of the log and that the report does not
// count.
func TestUnreadAndLeftOut(t *testing.T) {
	r, err := Explain("f1", writeLogs(t, map[string][]string{"agent-1": {
		logLine(1, "FlowOpened", flowFields), "panic: something", `{"Event":"without a time"}`, logLine(2, "LinesLeftOut", `"Sampled":3,"Dropped":4`),
	}}), DefaultAround)
	require.NoError(t, err)
	require.Equal(t, 2, r.Unread)
	require.Equal(t, "117156106913841185", fmt.Sprint(r.Lines[0].Fields["Generation"]), "the field is rounded")
	require.Equal(t, 7, r.LeftOut)
	_, err = Explain("f1", []string{filepath.Join(t.TempDir(), "missing.log")}, DefaultAround)
	require.ErrorContains(t, err, "missing.log")
}

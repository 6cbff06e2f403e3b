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

// logs writes logs, one a process, and returns their paths. Each line is a time in seconds, an event and further fields.
func logs(t *testing.T, processes map[string][]string) []string {
	folder := t.TempDir()
	var paths []string
	for _, name := range []string{"entry-1", "agent-1", "agent-2", "collected"} {
		lines, ok := processes[name]
		if !ok {
			continue
		}
		path := filepath.Join(folder, name+".log")
		require.NoError(t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
		paths = append(paths, path)
	}
	return paths
}

// line returns a log line.
func line(seconds float64, event, fields string) string {
	at := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC).Add(time.Duration(seconds * float64(time.Second)))
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"Level":"info","Time":%q,"Event":%q%s}`, at.Format(time.RFC3339Nano), event, fields)
}

const flow = `"Flow":"f1","Copy":0,"Sequence":7,"Generation":117156106913841185`

// TestExplain guards against an explanation that names a line which did not decide the flow's end.
func TestExplain(t *testing.T) {
	routed := line(1, "FlowRouted", `"Flow":"f1","Agent":"agent-1"`)
	for name, test := range map[string]struct {
		logs map[string][]string
		// want has the processes and events in order, with a star at the deciding one.
		want  string
		cause string
	}{
		"refused": {map[string][]string{
			"entry-1": {routed, line(1.1, "FlowRouted", `"Flow":"f2","Agent":"agent-1"`)},
			"agent-1": {line(1.01, "FlowOffered", flow+`,"Hops":1,"Reason":"Offered"`), line(1.03, "FlowRefused", flow+`,"Hops":3,"Reason":"Unavailable"`)},
			"agent-2": {line(1.02, "FlowDeclined", flow+`,"Hops":2,"Reason":"Declined"`)},
		}, "entry-1 FlowRouted, agent-1 FlowOffered, agent-2 FlowDeclined, *agent-1 FlowRefused", "every agent that was asked is full"},
		"clock of an agent is 10 s behind": {map[string][]string{
			"entry-1": {routed},
			"agent-1": {line(-8.99, "FlowOffered", flow+`,"Hops":1,"Reason":"Offered"`), line(-8.97, "FlowRefused", flow+`,"Hops":3,"Reason":"Unavailable"`)},
			"agent-2": {line(1.02, "FlowDeclined", flow+`,"Hops":2,"Reason":"Declined"`)},
		}, "entry-1 FlowRouted, ~agent-1 FlowOffered, agent-2 FlowDeclined, *~agent-1 FlowRefused", "FlowRefused at agent-1"},
		"clock is stepped back in the log": {map[string][]string{
			"agent-1": {line(5, "FlowOpened", flow+`,"Hops":1`), line(2, "PacketDropped", flow+`,"Hops":1,"Reason":"Gone"`)},
		}, "agent-1 FlowOpened, *~agent-1 PacketDropped", "it has restarted"},
		"target goes away under an open flow": {map[string][]string{
			"entry-1": {routed},
			"agent-1": {line(0.2, "TargetBeat", `"Replaced":false`), line(1.01, "FlowOpened", flow+`,"Hops":1`), line(3, "TargetGone", "")},
		}, "agent-1 TargetBeat, entry-1 FlowRouted, agent-1 FlowOpened, *agent-1 TargetGone", "open here when its target went away"},
		"served": {map[string][]string{
			"entry-1": {routed}, "agent-1": {line(1.01, "FlowOpened", flow+`,"Hops":1`)},
		}, "entry-1 FlowRouted, *agent-1 FlowOpened", "nothing was refused or dropped later"},
		"agent restarts as the packet arrives": {map[string][]string{
			"entry-1": {routed}, "agent-1": {line(0.5, "ProcessEnded", ""), line(60, "AgentStarted", `"Name":"agent-1"`)},
		}, "*agent-1 ProcessEnded, entry-1 FlowRouted", "logged nothing of it"},
		"no log of the agent": {map[string][]string{"entry-1": {routed}}, "*entry-1 FlowRouted", "its log is missing"},
		"flow without lines":  {map[string][]string{"entry-1": {line(1, "EntryStarted", "")}}, "", "no line names the flow"},
		"one collected log": {map[string][]string{"collected": {
			"12.001 entry-1: " + routed, "", "12.002 agent-1: " + line(1.01, "FlowOpened", flow+`,"Hops":1`), "12.003 agent-1: not JSON",
		}}, "entry-1 FlowRouted, *agent-1 FlowOpened", "FlowOpened at agent-1"},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := Explain("f1", logs(t, test.logs), Around)
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

// TestUnread guards against lines that are left out without a word.
func TestUnread(t *testing.T) {
	r, err := Explain("f1", logs(t, map[string][]string{"agent-1": {
		line(1, "FlowOpened", flow), "panic: something", `{"Event":"without a time"}`, line(2, "LinesLeftOut", `"Sampled":3,"Dropped":4`),
	}}), Around)
	require.NoError(t, err)
	require.Equal(t, 2, r.Unread)
	require.Equal(t, "117156106913841185", fmt.Sprint(r.Lines[0].Fields["Generation"]), "the field is rounded")
	require.Equal(t, 7, r.LeftOut)
	_, err = Explain("f1", []string{filepath.Join(t.TempDir(), "missing.log")}, Around)
	require.ErrorContains(t, err, "missing.log")
}

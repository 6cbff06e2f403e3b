// Package explainer merges the log lines of several processes about one flow and finds the line that explains how the flow
// ended.
package explainer

import (
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"cherviltide.example/cherviltide"
)

// DefaultAround is the default time before the first and after the last line of a flow in which the state events of the
// processes that handled it are shown.
const DefaultAround cherviltide.Millis = 5_000

// Report explains one flow.
type Report struct {
	Flow string
	// Lines has the flow's lines and the state events of the processes that handled it, in causal order.
	Lines []Line
	// Cause describes what the deciding line means.
	Cause string
	// Unread counts the lines that are not log lines of this program.
	Unread int
	// LeftOut counts the lines that the processes left out of their logs; lines of the flow may be among them.
	LeftOut int
}

// Error is a failure of the explainer.
type Error struct{ cherviltide.Fault }

// Explain reads the logs at paths and explains a flow. It shows state events up to the time around before and after the
// flow.
func Explain(flow string, paths []string, around cherviltide.Millis) (Report, error) {
	report := Report{Flow: flow}
	var allLines []Line
	keep := func(l Line) bool { return l.text("Flow") == flow || stateEvents[l.Event] }
	for i, path := range paths {
		lines, unread, err := readFile(i, path, keep)
		if err != nil {
			return Report{}, &Error{cherviltide.Fault{Op: "explainer.Explain", Kind: cherviltide.KindInvalid, Err: err}}
		}
		allLines = append(allLines, lines...)
		report.Unread += unread
	}
	report.fill(allLines, around)
	return report, nil
}

func readFile(i int, path string, keep func(Line) bool) ([]Line, int, error) {
	var r io.Reader = os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, 0, err
		}
		defer func() { _ = file.Close() }()
		r = file
	}
	lines, unread, err := readLines(i, path, r, keep)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", path, err)
	}
	return lines, unread, nil
}

// fill selects the lines of the report, orders them and finds the deciding one.
func (r *Report) fill(allLines []Line, around cherviltide.Millis) {
	var selected []Line
	for _, l := range allLines {
		if l.text("Flow") == r.Flow {
			selected = append(selected, l)
		}
	}
	if len(selected) == 0 {
		r.Cause = "no line names the flow; see LinesLeftOut and DatagramsDropped of the entries, and whether the logs go back far enough"
		return
	}
	involved, start, end := map[string]bool{}, selected[0].Time, selected[0].Time
	for _, l := range selected {
		involved[l.Process], involved[l.text("Agent")] = true, true
		if l.Time.Before(start) {
			start = l.Time
		}
		if l.Time.After(end) {
			end = l.Time
		}
	}
	from, to := start.Add(-around.Duration()), end.Add(around.Duration())
	for _, l := range allLines {
		if stateEvents[l.Event] && involved[l.Process] && !l.Time.Before(from) && !l.Time.After(to) {
			selected = append(selected, l)
			if l.Event == "LinesLeftOut" {
				r.LeftOut += int(l.number("Sampled") + l.number("Dropped"))
			}
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int {
		if a.file != b.file {
			return a.file - b.file
		}
		return a.lineNumber - b.lineNumber
	})
	r.Lines = orderLines(selected)
	r.markDecidingLine()
}

// stateEvents are the log events that affect all flows of a process.
var stateEvents = map[string]bool{
	"EntryStarted": true, "AgentStarted": true, "ProcessEnded": true, "Leaving": true, "Expelled": true, "StateDiverged": true,
	"TargetBeat": true, "TargetSilent": true, "TargetGone": true, "TargetLeft": true, "ControlStreamEnded": true,
	"DatagramsDropped": true, "ProcessPaused": true, "SendFailed": true, "LinesLeftOut": true,
}

// unloggedWindow is the largest time between the routing of a flow and a state event of its agent that can explain why the
// agent logged nothing of the flow.
const unloggedWindow = 2 * time.Second

// markDecidingLine marks the line that explains the end of the flow: the last refusal or drop if no opening follows it, else
// the opening or what happened to its target, else what happened to the agent that should have received the flow.
func (r *Report) markDecidingLine() {
	lastIndex := func(match func(Line) bool) int {
		for i := len(r.Lines) - 1; i >= 0; i-- {
			if match(r.Lines[i]) {
				return i
			}
		}
		return -1
	}
	is := func(events ...string) func(Line) bool {
		return func(l Line) bool { return l.text("Flow") == r.Flow && slices.Contains(events, l.Event) }
	}
	opened := lastIndex(is("FlowOpened"))
	failed := lastIndex(is("FlowRefused", "PacketDropped"))
	switch routed := lastIndex(is("FlowRouted")); {
	case failed > opened:
		r.markDeciding(failed, reasonMeanings[r.Lines[failed].text("Reason")])
	case opened >= 0:
		r.explainOpened(opened)
	case routed >= 0 && routed == lastIndex(func(l Line) bool { return l.text("Flow") == r.Flow }):
		r.explainUnlogged(routed)
	default:
		r.markDeciding(lastIndex(func(l Line) bool { return l.text("Flow") == r.Flow }), "the last decision that was logged; the flow was neither refused nor opened")
	}
}

func (r *Report) markDeciding(i int, cause string) {
	r.Lines[i].Deciding = true
	r.Cause = fmt.Sprintf("%s at %s: %s", r.Lines[i].Event, r.Lines[i].Process, cause)
}

// explainOpened explains a flow that was opened: it ended with its target if the target failed or left later, else the
// target served it.
func (r *Report) explainOpened(i int) {
	agent := r.Lines[i].Process
	for j := i + 1; j < len(r.Lines); j++ {
		l := r.Lines[j]
		replaced, _ := l.Fields["Replaced"].(bool)
		if l.Process == agent && (l.Event == "TargetGone" || l.Event == "TargetSilent" || l.Event == "TargetLeft" || replaced) {
			r.markDeciding(j, "the flow was open here when its target went away")
			return
		}
	}
	r.markDeciding(i, "the target received the flow and nothing was refused or dropped later; a late or missing answer is the target's, see Relayer.WorkMs")
}

// explainUnlogged explains a flow that an entry sent to an agent and that no agent logged.
func (r *Report) explainUnlogged(i int) {
	agent, at := r.Lines[i].text("Agent"), r.Lines[i].Time
	for j, l := range r.Lines {
		if l.Process == agent && l.Time.Sub(at).Abs() <= unloggedWindow && l.Event != "ControlStreamEnded" {
			r.markDeciding(j, "the entry sent the flow to this agent, which logged nothing of it")
			return
		}
	}
	r.markDeciding(i, fmt.Sprintf("%s logged nothing of the flow: the packet was lost on the network, or its log is missing or was sampled", agent))
}

// reasonMeanings describes the reasons for which agents log that they refused or dropped a packet.
var reasonMeanings = map[string]string{
	"Unavailable": "every agent that was asked is full, leaving or without its target; the request was not executed",
	"Evacuated":   "the agent's failure domain is evacuated and no agent elsewhere took the flow; the request was not executed",
	"Overloaded":  "no target could have served the flow before its caller gave up: see WaitMs and Waiting of the lines before; the request was not executed",
	"NoHolder":    "no agent holds the flow: its target has ended, or its agent restarted and could not find it",
	"Gone":        "the target returned a packet of a flow that it had held: it has restarted",
	"NoRoute":     "the newer of the two configurations (Revision, SenderRevision) does not send new flows of the route to this agent",
	"OldRules":    "entry and agent had rules older than a route change under which this agent has already opened flows",
	"Forged":      "the packet claims to be of a type that only targets send",
	"Hops":        "the packet was forwarded too often between agents whose tables differ",
}

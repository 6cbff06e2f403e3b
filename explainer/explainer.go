// Package explainer joins the log lines of several processes about one flow and names the line that decided its end.
package explainer

import (
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"cherviltide.example/cherviltide"
)

// Around is how long before and after a flow's lines the state of the processes that they name is shown by default.
const Around cherviltide.Millis = 5_000

// Report explains one flow.
type Report struct {
	Flow string
	// Lines has the flow's lines, and those that changed the state of the processes that the flow met, in their order.
	Lines []Line
	// Cause says in words what the deciding line means.
	Cause string
	// Unread counts lines that are not the program's.
	Unread int
	// LeftOut counts the lines that the processes left out of their logs, so that some of the flow may be missing.
	LeftOut int
}

// Error is a failure of the explainer.
type Error struct{ cherviltide.Fault }

// Explain reads logs and explains a flow.
func Explain(flow string, paths []string, around cherviltide.Millis) (Report, error) {
	report := Report{Flow: flow}
	var all []Line
	keep := func(l Line) bool { return l.text("Flow") == flow || states[l.Event] }
	for i, path := range paths {
		lines, unread, err := readFile(i, path, keep)
		if err != nil {
			return Report{}, &Error{cherviltide.Fault{Op: "explainer.Explain", Kind: cherviltide.KindInvalid, Err: err}}
		}
		all = append(all, lines...)
		report.Unread += unread
	}
	report.choose(all, around)
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
	lines, unread, err := read(i, path, r, keep)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", path, err)
	}
	return lines, unread, nil
}

// choose fills in a report from all lines.
func (r *Report) choose(all []Line, around cherviltide.Millis) {
	var own []Line
	for _, l := range all {
		if l.text("Flow") == r.Flow {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		r.Cause = "no line names the flow; see LinesLeftOut and DatagramsDropped of the entries, and whether the logs reach back far enough"
		return
	}
	met, first, last := map[string]bool{}, own[0].Time, own[0].Time
	for _, l := range own {
		met[l.Process], met[l.text("Agent")] = true, true
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	from, to := first.Add(-around.Duration()), last.Add(around.Duration())
	for _, l := range all {
		if states[l.Event] && met[l.Process] && !l.Time.Before(from) && !l.Time.After(to) {
			own = append(own, l)
			if l.Event == "LinesLeftOut" {
				r.LeftOut += int(l.amount("Sampled") + l.amount("Dropped"))
			}
		}
	}
	slices.SortStableFunc(own, func(a, b Line) int {
		if a.file != b.file {
			return a.file - b.file
		}
		return a.number - b.number
	})
	r.Lines = order(own)
	r.decide()
}

// states are the events that change what a process does for all flows.
var states = map[string]bool{
	"EntryStarted": true, "AgentStarted": true, "ProcessEnded": true, "Leaving": true, "Expelled": true, "StateDiverged": true,
	"TargetBeat": true, "TargetSilent": true, "TargetGone": true, "TargetLeft": true, "ControlStreamEnded": true,
	"DatagramsDropped": true, "ProcessPaused": true, "SendFailed": true, "LinesLeftOut": true,
}

// window is how close to the last line of a flow a change of state must be to explain that nothing followed.
const window = 2 * time.Second

// decide marks the line that explains the end of the flow: the last refusal or drop, else the last opening, else what
// happened to the agent that should have got the flow.
func (r *Report) decide() {
	last := func(match func(Line) bool) int {
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
	opened := last(is("FlowOpened"))
	ended := last(is("FlowRefused", "PacketDropped"))
	switch routed := last(is("FlowRouted")); {
	case ended > opened:
		r.mark(ended, causes[r.Lines[ended].text("Reason")])
	case opened >= 0:
		r.opened(opened)
	case routed >= 0 && routed == last(func(l Line) bool { return l.text("Flow") == r.Flow }):
		r.unheard(routed)
	default:
		r.mark(last(func(l Line) bool { return l.text("Flow") == r.Flow }), "the last decision that was logged; nothing refused or opened the flow")
	}
}

func (r *Report) mark(i int, cause string) {
	r.Lines[i].Deciding = true
	r.Cause = fmt.Sprintf("%s at %s: %s", r.Lines[i].Event, r.Lines[i].Process, cause)
}

// opened explains a flow that was opened: it ended with its target if that went away, else the target served it.
func (r *Report) opened(i int) {
	agent := r.Lines[i].Process
	for j := i + 1; j < len(r.Lines); j++ {
		l := r.Lines[j]
		replaced, _ := l.Fields["Replaced"].(bool)
		if l.Process == agent && (l.Event == "TargetGone" || l.Event == "TargetSilent" || l.Event == "TargetLeft" || replaced) {
			r.mark(j, "the flow was open here when its target went away")
			return
		}
	}
	r.mark(i, "the target got the flow and nothing was refused or dropped later; a late or missing answer is the target's, see Relayer.WorkMs")
}

// unheard explains a flow that left an entry and that no agent logged.
func (r *Report) unheard(i int) {
	agent, at := r.Lines[i].text("Agent"), r.Lines[i].Time
	for j, l := range r.Lines {
		if l.Process == agent && l.Time.Sub(at).Abs() <= window && l.Event != "ControlStreamEnded" {
			r.mark(j, "the entry sent the flow to this agent, which logged nothing of it")
			return
		}
	}
	r.mark(i, fmt.Sprintf("%s logged nothing of the flow: the packet was lost on the way, or its log is missing or was sampled", agent))
}

// causes say what the reasons of refused and dropped packets mean.
var causes = map[string]string{
	"Unavailable": "every agent that was asked is full, leaving or without its target; nothing has run",
	"NoHolder":    "no agent holds the flow: its target has ended, or its agent restarted and could not find it",
	"Gone":        "the target returned a packet of a flow that it had held: it has restarted",
	"NoRoute":     "the newer of the two configurations (Revision, SenderRevision) does not send the route here",
	"OldRules":    "entry and agent had rules older than a change that was already seen to work here",
	"Forged":      "the packet claims to be one that only targets send",
	"Hops":        "the packet was passed on too often between agents whose tables differ",
}

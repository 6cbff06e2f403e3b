package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/explainer"
)

type explainCommand struct {
	Flow   string             `arg:"required" help:"identifier of the flow, as in the field Flow of log lines"`
	Files  []string           `arg:"positional,required" help:"logs of entries and agents; - is the standard input"`
	Around cherviltide.Millis `default:"5000" help:"time before and after the flow in which state changes are shown, in ms"`
	JSON   bool               `arg:"--json" help:"print JSON"`
}

func (c *explainCommand) examples() string {
	return "cherviltide explain --flow b4e2be0eb2b1f04f logs/*.log"
}

var errFlowNotFound = errors.New("no line names the flow")

// execute prints the log lines of the flow and their explanation. It fails after printing if no line names the flow.
func (c *explainCommand) execute(_ context.Context, console console) error {
	report, err := explainer.Explain(c.Flow, c.Files, c.Around)
	if err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(console.Out).Encode(report)
	} else {
		err = printExplanation(console.Out, report)
	}
	if err == nil && len(report.Lines) == 0 {
		return errFlowNotFound
	}
	return err
}

// printExplanation prints one line per log line: "*" marks the deciding one, "~" those with a clock that is off.
func printExplanation(out io.Writer, r explainer.Report) error {
	var b strings.Builder
	for _, l := range r.Lines {
		mark := " "
		if l.Deciding {
			mark = "*"
		}
		if l.ClockOff {
			mark += "~"
		} else {
			mark += " "
		}
		fmt.Fprintf(&b, "%s %s %-16s %-18s", mark, l.Time.UTC().Format("15:04:05.000000"), l.Process, l.Event)
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			if name != "Flow" {
				fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
			}
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "Cause: %s\n", r.Cause)
	if r.LeftOut > 0 {
		fmt.Fprintf(&b, "%d lines were left out of these logs by sampling or a full queue; some of the flow may be missing\n", r.LeftOut)
	}
	if r.Unread > 0 {
		fmt.Fprintf(&b, "%d lines could not be read\n", r.Unread)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

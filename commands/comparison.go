package commands

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/checker"
	"cherviltide.example/cherviltide/messenger"
)

// compare returns the differences of a checked configuration from the version in force, and a finding for each part that is
// missing. The document is nil when the configuration is not valid.
func (c *checkFlags) compare(ctx context.Context, d *checker.Document, format configurationFormat) (*checker.Comparison, []checker.Finding, error) {
	if d == nil {
		return nil, missing(checker.CodeNotCompared, "the file has errors, so it was not compared with the version in force"), nil
	}
	s, err := c.newSession()
	var usage *usageError
	if errors.As(err, &usage) {
		return nil, nil, err
	}
	var current *messenger.CurrentResponse
	if err == nil {
		current, err = callControl(ctx, s, messenger.Current, &messenger.CurrentRequest{})
	}
	if err != nil {
		return nil, missing(checker.CodeControlNotReached, "the file was not compared with the version in force: %v", readError(err)), nil
	}
	var findings []checker.Finding
	if !current.Confirmed {
		findings = missing(checker.CodeControlNotConfirmed, "the control instance could not reach a majority; revision %d may be older than the version in force", current.Revision)
	}
	// The version in force is not judged again: it was accepted, maybe by another version of this program.
	inForce, problems := &checker.Document{}, []checker.Finding(nil)
	if current.Revision > 0 {
		inForce, problems = format.check(current.Text, checker.Limits{})
	}
	if inForce == nil {
		return nil, append(findings, missing(checker.CodeVersionInForceUnreadable, "revision %d cannot be read, so the file was not compared with it: %s", current.Revision, problems[0].Message)...), nil
	}
	comparison := &checker.Comparison{Revision: current.Revision, Confirmed: current.Confirmed, Changes: checker.Compare(*inForce, *d)}
	findings = append(findings, addOrigins(ctx, s, comparison)...)
	return comparison, append(findings, addOpenFlows(ctx, s, comparison)...), nil
}

func missing(code checker.Code, format string, args ...any) []checker.Finding {
	return []checker.Finding{{Severity: checker.SeverityWarning, Code: code, Message: fmt.Sprintf(format, args...)}}
}

// addOrigins adds who sent the version in force, and who changed each line of a removed or changed entry last.
func addOrigins(ctx context.Context, s *session, c *checker.Comparison) []checker.Finding {
	history, err := callControl(ctx, s, messenger.History, &messenger.HistoryRequest{Newest: c.Revision, Limit: 1})
	if err != nil {
		return missing(checker.CodeOriginsUnknown, "who changed the lines last is not known: %v", readError(err))
	}
	for _, r := range history.Revisions {
		if r.Revision == c.Revision {
			c.Operator, c.Time = r.Operator, r.Time
		}
	}
	res, err := callControl(ctx, s, messenger.Rules, &messenger.RulesRequest{})
	if err != nil {
		return missing(checker.CodeOriginsUnknown, "who changed the lines last is not known: %v", readError(err))
	}
	if res.Revision != c.Revision {
		return missing(checker.CodeOriginsUnknown, "who changed the lines last is not known: revision %d came into force meanwhile", res.Revision)
	}
	byLine := make(map[int]checker.Origin, len(res.Rules))
	for _, r := range res.Rules {
		byLine[r.Line] = checker.Origin{Revision: r.Revision, Operator: r.Operator, Requester: r.Requester, Time: r.Time}
	}
	if unknown := c.AddOrigins(byLine); unknown > 0 {
		return missing(checker.CodeOriginsUnknown, "who changed the lines of %d removed or changed entries last is not known to control", unknown)
	}
	return nil
}

// addOpenFlows adds the flows that are open at services which lose an entry.
func addOpenFlows(ctx context.Context, s *session, c *checker.Comparison) []checker.Finding {
	if !c.EndsFlows() {
		return nil
	}
	status, err := callControl(ctx, s, messenger.Status, &messenger.StatusRequest{})
	if err != nil {
		return missing(checker.CodeOpenFlowsUnknown, "the open flows of removed entries are not known: %v", readError(err))
	}
	byService := map[string]checker.OpenFlows{}
	for _, m := range status.Members {
		if m.Member.Role != cherviltide.RoleAgent || m.State == cherviltide.StateDead {
			continue
		}
		f := byService[m.Member.Service]
		byService[m.Member.Service] = checker.OpenFlows{Flows: f.Flows + m.OpenFlows, Agents: f.Agents + 1}
	}
	c.AddOpenFlows(byService)
	if !status.Confirmed {
		return missing(checker.CodeOpenFlowsUnknown, "the open flows may be old: the control instance could not reach a majority")
	}
	return nil
}

// changeMarks are the first characters of the lines about changes.
var changeMarks = map[checker.ChangeType]string{checker.ChangeAdded: "+", checker.ChangeRemoved: "-", checker.ChangeChanged: "~"}

func formatComparison(b *strings.Builder, c *checker.Comparison) {
	fmt.Fprintf(b, "compared with revision %d", c.Revision)
	if c.Operator != "" {
		fmt.Fprintf(b, " of %s at %s", c.Operator, formatTime(c.Time))
	}
	fmt.Fprintf(b, ": %d entries differ\n", len(c.Changes))
	for _, change := range c.Changes {
		b.WriteString(changeMarks[change.Type] + " " + change.Entry)
		for i, s := range change.Settings {
			separator := ", "
			if i == 0 {
				separator = ": "
			}
			fmt.Fprintf(b, "%s%s %s -> %s", separator, s.Name, valueOrNone(s.Before), valueOrNone(s.After))
		}
		b.WriteString("\n")
		if o := change.Origin; o != nil {
			fmt.Fprintf(b, "    line %d in force: %s in revision %d at %s, %s\n", change.LineInForce, o.Operator, o.Revision, formatTime(o.Time), o.Requester)
		}
		if f := change.OpenFlows; f != nil {
			bound := ""
			if f.AtMost {
				bound = "at most "
			}
			fmt.Fprintf(b, "    %s%d open flows at %d agents\n", bound, f.Flows, f.Agents)
		}
	}
}

func valueOrNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

package commands

import (
	"context"
	"fmt"
	"os"

	"cherviltide.example/cherviltide/messenger"
)

// tableFlags are the flags of the commands that print a table.
type tableFlags struct {
	controlFlags
	JSON bool `arg:"--json" help:"print JSON instead of a table"`
}

// warnUnconfirmed prints a warning if the control instance could not reach a majority, so its response may be outdated.
func warnUnconfirmed(console console, confirmed bool) {
	if !confirmed {
		console.progress("warning: the control instance could not reach a majority; the answer may be old")
	}
}

type statusCommand struct {
	tableFlags
}

func (c *statusCommand) examples() string {
	return "cherviltide status --control 127.0.0.1:7400 --json"
}

func (c *statusCommand) execute(ctx context.Context, console console) error {
	s, err := c.newSession()
	if err != nil {
		return err
	}
	res, err := callControl(ctx, s, messenger.Status, &messenger.StatusRequest{})
	if err != nil {
		return readError(err)
	}
	warnUnconfirmed(console, res.Confirmed)
	if c.JSON {
		return console.printJSON(res)
	}
	_, _ = fmt.Fprintf(console.Out, "Revision %d, membership position %d\n", res.Revision, res.Position)
	if err := writeEvacuations(console.Out, res.Evacuations); err != nil {
		return err
	}
	t := newTable("Name", "Role", "Service", "FailureDomain", "State", "Weight", "Seen", "InForce")
	for _, m := range res.Members {
		t.addRow(m.Member.Name, m.Member.Role, m.Member.Service, m.Member.FailureDomain, m.State, m.Member.Weight, m.RevisionSeen, m.RevisionInForce)
	}
	if err := t.write(console.Out); err != nil {
		return err
	}
	printUnreached(console.Out, res.Members)
	return nil
}

type rulesCommand struct {
	tableFlags
}

func (c *rulesCommand) examples() string { return "cherviltide rules --control 127.0.0.1:7400" }

func (c *rulesCommand) execute(ctx context.Context, console console) error {
	s, err := c.newSession()
	if err != nil {
		return err
	}
	res, err := callControl(ctx, s, messenger.Rules, &messenger.RulesRequest{})
	if err != nil {
		return readError(err)
	}
	warnUnconfirmed(console, res.Confirmed)
	if c.JSON {
		return console.printJSON(res)
	}
	_, _ = fmt.Fprintf(console.Out, "Revision %d\n", res.Revision)
	t := newTable("Line", "Rule", "Requester", "Revision", "Operator", "Time", "Edit")
	for _, r := range res.Rules {
		t.addRow(r.Line, r.Text, r.Requester, r.Revision, r.Operator, formatTime(r.Time), r.EditID)
	}
	return t.write(console.Out)
}

type historyCommand struct {
	tableFlags
	Limit int `arg:"--limit" default:"50" help:"maximum number of revisions; 0 for all"`
}

func (c *historyCommand) examples() string {
	return "cherviltide history --limit 10 --control 127.0.0.1:7400"
}

func (c *historyCommand) execute(ctx context.Context, console console) error {
	s, err := c.newSession()
	if err != nil {
		return err
	}
	res, err := callControl(ctx, s, messenger.History, &messenger.HistoryRequest{Limit: c.Limit})
	if err != nil {
		return readError(err)
	}
	warnUnconfirmed(console, res.Confirmed)
	if c.JSON {
		return console.printJSON(res)
	}
	t := newTable("Revision", "Time", "Operator", "Added", "Removed", "Edit")
	for _, r := range res.Revisions {
		t.addRow(r.Revision, formatTime(r.Time), r.Operator, r.Added, r.Removed, r.EditID)
	}
	return t.write(console.Out)
}

type reportCommand struct {
	tableFlags
	HTML string `arg:"--html" help:"write one HTML page with plots to this file instead"`
}

func (c *reportCommand) examples() string {
	return "cherviltide report --html burn.html --control 127.0.0.1:7400"
}

func (c *reportCommand) execute(ctx context.Context, console console) error {
	s, err := c.newSession()
	if err != nil {
		return err
	}
	res, err := callControl(ctx, s, messenger.Report, &messenger.ReportRequest{})
	if err != nil {
		return readError(err)
	}
	warnUnconfirmed(console, res.Confirmed)
	switch {
	case c.JSON:
		return console.printJSON(res)
	case c.HTML == "":
		return res.Report.WriteText(console.Out)
	}
	file, err := os.Create(c.HTML)
	if err != nil {
		return err
	}
	if err := res.Report.WriteHTML(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

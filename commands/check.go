package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/checker"
	"cherviltide.example/cherviltide/loader"
	"cherviltide.example/cherviltide/platform"
	"cherviltide.example/cherviltide/proxier"
	"cherviltide.example/cherviltide/registrar"
	"cherviltide.example/cherviltide/speller"
)

// Exit codes of the check commands. They differ from those of other commands, whose ExitFailed and ExitUsage have the same
// numbers: an error in the file and a wrong command line both mean that the file must not be sent.
const (
	ExitCheckWarnings = 1 // The file has warnings and --strict was given.
	ExitCheckErrors   = 2 // The file has errors.
)

// findingsError ends a check command whose findings have been printed.
type findingsError struct {
	text string
	code int
}

func (e *findingsError) Error() string { return e.text }

// checkFlags are the flags of the check commands.
type checkFlags struct {
	controlFlags
	Strict bool   `arg:"--strict" help:"end with code 1 when there are warnings but no errors"`
	Format string `arg:"--format" default:"text" help:"text or json"`
}

// configurationFormat is a format of configurations with the limits of the processes that use it.
type configurationFormat struct {
	check  func(text string, limits checker.Limits) (*checker.Document, []checker.Finding)
	limits checker.Limits
}

var (
	rulesFormat = configurationFormat{checker.CheckText, checker.Limits{
		TextBytes: registrar.MaxTextBytes, FlowIdle: cherviltide.MillisOf(proxier.IdleTimeout),
	}}
	platformFormat = configurationFormat{platform.CheckConfiguration, platform.CheckLimits}
)

type checkCommand struct {
	checkFlags
	Role string   `arg:"--role" help:"entry, agent or control: FILE is the settings file of such a process instead of a rules file"`
	Set  []string `arg:"--set,separate" help:"with --role: NAME=VALUE overrides the file and the environment"`
	File string   `arg:"positional,required" help:"rules file, or settings file with --role"`
}

func (c *checkCommand) examples() string {
	return "cherviltide check rules --control 127.0.0.1:7400\n  cherviltide check --role agent agent.json"
}

func (c *checkCommand) execute(ctx context.Context, console console) error {
	if c.Role == "" {
		return c.checkConfiguration(ctx, console, c.File, rulesFormat)
	}
	settings, ok := newSettings(c.Role)
	if !ok {
		return &usageError{fmt.Errorf("found role %q, expected %s", c.Role, speller.JoinOr(settingsRoles))}
	}
	return c.print(console, checker.NewReport(c.File, checkSettings(c.File, settings, c.Set)), nil)
}

// platformCommand adds the check of a configuration to the daemons of the platform.
type platformCommand struct {
	platform.Command
	Check *platformCheckCommand `arg:"subcommand:check" help:"check a configuration of the operators' platform"`
}

type platformCheckCommand struct {
	checkFlags
	File string `arg:"positional,required" help:"configuration (JSON)"`
}

func (c *platformCheckCommand) examples() string {
	return "cherviltide platform check config.json --format json"
}

func (c *platformCheckCommand) execute(ctx context.Context, console console) error {
	return c.checkConfiguration(ctx, console, c.File, platformFormat)
}

// checkConfiguration checks a configuration, compares it with the version in force if control instances are given, and prints
// the report.
func (c *checkFlags) checkConfiguration(ctx context.Context, console console, path string, format configurationFormat) error {
	if err := c.validate(); err != nil {
		return err
	}
	text, err := readBounded(path, format.limits.TextBytes)
	var document *checker.Document
	var findings []checker.Finding
	if err != nil {
		findings = []checker.Finding{unreadableFile(err)}
	} else {
		document, findings = format.check(text, format.limits)
	}
	var comparison *checker.Comparison
	if len(c.Control) > 0 {
		var missing []checker.Finding
		if comparison, missing, err = c.compare(ctx, document, format); err != nil {
			return err
		}
		findings = append(findings, missing...)
	}
	report := checker.NewReport(path, findings)
	report.InForce = comparison
	return c.print(console, report, document)
}

func (c *checkFlags) validate() error {
	if c.Format != "text" && c.Format != "json" {
		return &usageError{fmt.Errorf("--format: found %q, expected text or json", c.Format)}
	}
	return nil
}

// readBounded reads a file, but at most one byte more than the limit, which suffices to refuse it.
func readBounded(path string, limit int) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(io.LimitReader(file, int64(limit)+1))
	return string(data), errors.Join(err, file.Close())
}

func unreadableFile(err error) checker.Finding {
	return checker.Finding{Severity: checker.SeverityError, Code: checker.CodeUnreadableFile, Message: err.Error()}
}

// print prints the report and returns the error with the exit code.
func (c *checkFlags) print(console console, r checker.Report, d *checker.Document) error {
	if err := c.validate(); err != nil {
		return err
	}
	var err error
	if c.Format == "json" {
		err = console.printJSON(r)
	} else {
		_, err = io.WriteString(console.Out, formatReport(r, d))
	}
	summary := fmt.Sprintf("%s: %d errors, %d warnings", r.File, r.Errors, r.Warnings)
	switch {
	case err != nil:
		return err
	case r.Errors > 0:
		return &findingsError{summary, ExitCheckErrors}
	case r.Warnings > 0 && c.Strict:
		return &findingsError{summary, ExitCheckWarnings}
	}
	return nil
}

// formatReport returns the findings as FILE:LINE:COLUMN, so that editors can jump to them, and the comparison.
func formatReport(r checker.Report, d *checker.Document) string {
	var b strings.Builder
	for _, f := range r.Findings {
		b.WriteString(r.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
		}
		fmt.Fprintf(&b, ": %s %s: ", strings.ToLower(string(f.Severity)), f.Code)
		if f.Entry != "" {
			b.WriteString(f.Entry + ": ")
		}
		b.WriteString(f.Message + "\n")
	}
	if r.Omitted > 0 {
		fmt.Fprintf(&b, "%s: %d more findings are left out\n", r.File, r.Omitted)
	}
	if d != nil {
		fmt.Fprintf(&b, "%s: %d services, %d kinds, %d customers, %d routes\n",
			r.File, len(d.Rules.Services), len(d.Rules.Kinds), len(d.Rules.Customers), len(d.Rules.Routes))
	}
	if r.InForce != nil {
		formatComparison(&b, r.InForce)
	}
	return b.String()
}

// checkSettings returns the findings about the settings file of a process.
func checkSettings(path string, settings any, flags []string) []checker.Finding {
	data, err := os.ReadFile(path)
	if err != nil {
		return []checker.Finding{unreadableFile(err)}
	}
	if findings := checker.CheckJSONText(string(data), checker.Limits{}); len(findings) > 0 {
		return findings
	}
	err = loader.Read(path, settings, flags...)
	var e *loader.Error
	switch s := settings.(type) {
	case *loader.Agent:
		if err == nil {
			return checker.CheckSlots(s.Slots)
		}
	case *loader.Control:
		if err == nil {
			return checker.CheckVoters(len(s.Voters))
		}
	}
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &e):
		return []checker.Finding{unreadableFile(err)}
	}
	findings := make([]checker.Finding, 0, len(e.Problems))
	for _, p := range e.Problems {
		findings = append(findings, settingFinding(path, p))
	}
	return findings
}

// settingFinding converts a problem of package loader, which begins with PATH:LINE:COLUMN when it concerns a place in the file.
func settingFinding(path, problem string) checker.Finding {
	f := checker.Finding{Severity: checker.SeverityError, Code: checker.CodeInvalidSetting, Message: problem}
	rest, inFile := strings.CutPrefix(problem, path+":")
	if !inFile {
		return f
	}
	f.Message = strings.TrimSpace(rest)
	place, message, found := strings.Cut(rest, ": ")
	line, column, _ := strings.Cut(place, ":")
	lineNumber, err := strconv.Atoi(line)
	columnNumber, columnErr := strconv.Atoi(column)
	if found && err == nil && columnErr == nil {
		f.Line, f.Column, f.Message = lineNumber, columnNumber, message
	}
	return f
}

// Package commands implements the command line of cherviltide.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide/logger"
)

// daemonCommand is a subcommand that runs a daemon.
type daemonCommand interface {
	run(ctx context.Context, out io.Writer, log *logger.Log) error
}

// operatorCommand is a subcommand that performs one action and exits.
type operatorCommand interface {
	execute(ctx context.Context, console console) error
	// examples returns the example command lines of the help.
	examples() string
}

type arguments struct {
	Entry    *entryCommand    `arg:"subcommand:entry" help:"forward callers' datagrams to agents"`
	Agent    *agentCommand    `arg:"subcommand:agent" help:"serve callers beside a target"`
	Control  *controlCommand  `arg:"subcommand:control" help:"keep configuration and membership"`
	Platform *platformCommand `arg:"subcommand:platform" help:"run a daemon with the settings of the operators' platform, or check a configuration"`
	Check    *checkCommand    `arg:"subcommand:check" help:"check a rules file or a settings file"`
	Format   *formatCommand   `arg:"subcommand:format" help:"print a rules file in the canonical format"`
	Diff     *diffCommand     `arg:"subcommand:diff" help:"compare the accepted rules with a file"`
	Apply    *applyCommand    `arg:"subcommand:apply" help:"put a rules file in force"`
	Rollback *rollbackCommand `arg:"subcommand:rollback" help:"make a new revision with the content of an old one"`
	Rules    *rulesCommand    `arg:"subcommand:rules" help:"show each accepted rule and who requested it"`
	History  *historyCommand  `arg:"subcommand:history" help:"show accepted revisions, newest first"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show members and the revision each has in force"`
	Drain    *drainCommand    `arg:"subcommand:drain" help:"make a member finish its work and end"`
	Evacuate *evacuateCommand `arg:"subcommand:evacuate" help:"end new flows to the targets of a failure domain, or allow them again"`
	Report   *reportCommand   `arg:"subcommand:report" help:"show the service-level report"`
	Explain  *explainCommand  `arg:"subcommand:explain" help:"show the log lines of a flow and mark the one that decided its outcome"`
	Settings *settingsCommand `arg:"subcommand:settings" help:"check a settings file and print it in full"`
	Version  *versionCommand  `arg:"subcommand:version" help:"print the version"`
}

// Epilogue documents the exit codes in the help.
func (arguments) Epilogue() string {
	return `Exit codes: 0 done; 1 failed or wrong input; 2 wrong command line; 3 conflict, nothing changed; 4 refused as not run;
5 answer lost, the change may have happened; 6 done, but not in force everywhere within the bound of --wait.
The check commands end with 0 without errors; 1 with warnings and --strict; 2 with errors or a wrong command line.`
}

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "cherviltide"}, &a)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		return printHelp(parser, out)
	}
	if err == nil && parser.Subcommand() == nil {
		err = errors.New("missing subcommand")
	}
	if err == nil {
		err = a.runSubcommand(ctx, parser.Subcommand(), console{Out: out, Err: errOut})
	} else {
		err = &usageError{err}
	}
	var usage *usageError
	if errors.As(err, &usage) {
		_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		_, _ = fmt.Fprintln(errOut, "error:", err)
		return ExitUsage
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "error:", err)
	}
	return exitCode(err)
}

func (a arguments) runSubcommand(ctx context.Context, subcommand any, console console) error {
	if c, ok := subcommand.(operatorCommand); ok {
		return c.execute(ctx, console)
	}
	log := logger.New(console.Out)
	defer log.Close()
	// Packages that are not given a logger use the global one.
	zap.ReplaceGlobals(log.Logger)
	err := a.runDaemon(ctx, subcommand, console, log)
	log.Info("ProcessEnded", zap.Error(err))
	return err
}

// runDaemon runs the daemon of a subcommand until ctx ends.
func (a arguments) runDaemon(ctx context.Context, subcommand any, console console, log *logger.Log) error {
	if c, ok := subcommand.(daemonCommand); ok {
		return c.run(ctx, console.Out, log)
	}
	return a.Platform.Run(ctx, log)
}

func printHelp(parser *arg.Parser, out io.Writer) int {
	_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
	if c, ok := parser.Subcommand().(operatorCommand); ok {
		_, _ = fmt.Fprintf(out, "\nExample:\n  %s\n", c.examples())
	}
	return ExitDone
}

type versionCommand struct{}

func (c *versionCommand) examples() string { return "cherviltide version" }

func (c *versionCommand) execute(_ context.Context, console console) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the binary has no build information")
	}
	revision := ""
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = ", commit " + s.Value
		}
	}
	_, err := fmt.Fprintf(console.Out, "cherviltide %s%s, %s\n", info.Main.Version, revision, info.GoVersion)
	return err
}

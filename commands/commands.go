// Package commands is the command line of cherviltide.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"
)

// Exit codes.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// command is a subcommand.
type command interface {
	run(ctx context.Context, out io.Writer, log *zap.Logger) error
}

type arguments struct {
	Entry   *entryCommand   `arg:"subcommand:entry" help:"forward callers' datagrams to agents"`
	Agent   *agentCommand   `arg:"subcommand:agent" help:"serve callers beside a target"`
	Control *controlCommand `arg:"subcommand:control" help:"keep configuration and membership"`
	Apply   *applyCommand   `arg:"subcommand:apply" help:"put a rules file in force"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show members and the revision each has in force"`
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
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return ExitDone
	}
	c, ok := parser.Subcommand().(command)
	if err != nil || !ok {
		if err == nil {
			err = errors.New("missing subcommand")
		}
		parser.WriteUsage(errOut)
		_, _ = fmt.Fprintln(errOut, "error:", err)
		return ExitUsage
	}
	log, err := zap.NewProduction()
	if err == nil {
		// Packages without a logger of their own report to the global one.
		zap.ReplaceGlobals(log)
		err = c.run(ctx, out, log)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "error:", err)
		return ExitFailed
	}
	return ExitDone
}

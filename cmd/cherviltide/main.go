// Command cherviltide is the load balancer: entry, agent, control and the operators' commands in one binary.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cherviltide.example/cherviltide/commands"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(commands.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

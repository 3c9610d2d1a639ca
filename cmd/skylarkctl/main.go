// Command skylarkctl is the command-line tool for skylarklock operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/skylarklock/skylarklock/internal/ctl"
	"github.com/skylarklock/skylarklock/internal/experiment"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := ctl.New(os.Stdout, os.Stderr,
		ctl.Demo(os.Stdout),
		ctl.Standin(os.Stdout),
		ctl.Load(os.Stdout),
		ctl.Capacity(os.Stdout),
		ctl.Story(os.Stdin, os.Stdout),
		ctl.Tally(os.Stdin, os.Stdout),
		ctl.Workspaces(os.Stdin, os.Stdout),
		ctl.Account(os.Stdin, os.Stdout),
		experiment.Command(os.Stdout, ctl.EnvPrefix),
	)
	return ctl.Run(ctx, root, os.Args[1:], os.Stderr)
}

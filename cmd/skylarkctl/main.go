// Command skylarkctl is the operators' tool of skylarklock.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/skylarklock/skylarklock/internal/ctl"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.Run(ctx, ctl.New(os.Stdout, os.Stderr, ctl.Standin(os.Stdout), ctl.Capacity(os.Stdout)), os.Args[1:], os.Stderr)
}

// Command skylarklock runs on an entry VM. It accepts requests and jobs from
// callers and, together with the other entry VMs, decides where they run.
//
// Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for invalid
// settings or arguments.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/skylarklock/skylarklock/internal/entry"
	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
)

// platformCommand is the argument that selects the users' platform: the process
// then reads the platform's settings file instead of internal/settings.
const platformCommand = "platform"

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) > 0 && args[0] == platformCommand {
		return runOnPlatform()
	}
	s, err := settings.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		return badInput(err)
	}
	if s.Limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(s.Limits.MemoryBytes)
	}
	log, err := logging.New(os.Stderr, s.LogLevel)
	if err != nil {
		return badInput(err)
	}
	node, err := entry.New(s, log)
	if err != nil {
		return badInput(err)
	}
	ctx, stop := shutdownContext()
	defer stop()
	if err := node.Run(ctx); err != nil {
		log.WithError(err).Error("entry failed")
		return exitFailed
	}
	return exitOK
}

// shutdownContext returns a context that is cancelled by the first SIGTERM or
// SIGINT, which starts a graceful shutdown. A second signal terminates the
// process immediately.
func shutdownContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-ctx.Done():
		}
		signal.Stop(signals) // before the shutdown begins, so that no second signal is lost
		cancel()
	}()
	return ctx, cancel
}

func badInput(err error) int {
	var list *finding.List
	if errors.As(err, &list) {
		for _, f := range list.Findings {
			fmt.Fprintln(os.Stderr, f.String())
		}
		return exitBadInput
	}
	fmt.Fprintln(os.Stderr, err)
	return exitBadInput
}

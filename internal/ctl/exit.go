// Package ctl implements the skylarkctl command. It validates and publishes
// records, reads status, records and explanations from entry VMs, and provides
// tools for load, capacity and log analysis.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/skylarklock/skylarklock/internal/finding"
)

// Exit codes of the command.
const (
	ExitOK       = 0
	ExitFailed   = 1 // failed, or the outcome is unknown; can be retried
	ExitBadInput = 2 // an error in flags, files or records
	ExitConflict = 3 // another revision is in force
)

// ExitError is an error with the exit code that it causes.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// badInput returns a formatted error with ExitBadInput.
func badInput(format string, args ...any) error {
	return &ExitError{Code: ExitBadInput, Err: fmt.Errorf(format, args...)}
}

// Run parses args, runs the command and returns the exit code. Errors are written
// to stderr.
func Run(ctx context.Context, root *ffcli.Command, args []string, stderr io.Writer) int {
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		_, _ = fmt.Fprintln(stderr, err)
		return ExitBadInput
	}
	err := root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) { // no subcommand was given
		return ExitBadInput
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var exit *ExitError
	var invalid *finding.List
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &invalid):
		return ExitBadInput
	}
	return ExitFailed
}

package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/skylarklock/skylarklock/internal/logread"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Story returns the story subcommand, which reconstructs the history and outcome of a job from
// the log lines of all machines, and marks the line that decided the outcome.
func Story(stdin io.Reader, stdout io.Writer) *ffcli.Command {
	return logLinesCommand("story", "story [-lines FILE] JOB", "tells from the lines of all machines what became of a job", stdin,
		func(lines *logread.Lines, args []string) error {
			if len(args) != 1 {
				return badInput("story: want the ID of one job, got %q", args)
			}
			if _, err := work.ParseID(args[0]); err != nil {
				return badInput("story: %w", err)
			}
			return writeStory(stdout, logread.TraceJob(lines.Ordered(), args[0]))
		})
}

// Tally returns the tally subcommand, which counts the outcomes of all jobs by cause, from the
// log lines of all machines.
func Tally(stdin io.Reader, stdout io.Writer) *ffcli.Command {
	return logLinesCommand("tally", "tally [-lines FILE]", "counts from the lines of all machines what became of jobs, by cause", stdin,
		func(lines *logread.Lines, args []string) error {
			if len(args) != 0 {
				return badInput("tally: takes no arguments, got %q", args)
			}
			out := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(out, "JOBS\tQUEUE\tOUTCOME\tCAUSE")
			for _, c := range logread.Tally(lines.Ordered()) {
				fmt.Fprintf(out, "%d\t%s\t%s\t%s\n", c.Jobs, c.Queue, c.Outcome, c.Cause)
			}
			if lines.Skipped > 0 {
				fmt.Fprintf(out, "%d lines hold no event and were skipped\n", lines.Skipped)
			}
			return out.Flush()
		})
}

// Workspaces returns the workspaces subcommand, which shows from the log lines of all machines who
// used what of which cap last, and who waited behind it.
func Workspaces(stdin io.Reader, stdout io.Writer) *ffcli.Command {
	return logLinesCommand("workspaces", "workspaces [-lines FILE]", "shows from the lines of all machines what workspaces use and what waits", stdin,
		func(lines *logread.Lines, args []string) error {
			if len(args) != 0 {
				return badInput("workspaces: takes no arguments, got %q", args)
			}
			out := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(out, "WORKSPACE\tRUNS\tCPU\tOF CAP\tMEMORY MB\tOF CAP\tWAITING\tHELD BY CAP\tIN EXCESS\tOVER SHARE\tAT")
			for _, u := range logread.WorkspaceUsage(lines.Ordered()) {
				fmt.Fprintf(out, "%s\t%d\t%.1f\t%s\t%d\t%s\t%d\t%d\t%d\t%v\t%s\n", u.Workspace, u.Runs,
					float64(u.UsedMilliCPU)/1000, percentOfCap(u.UsedMilliCPU, u.CapMilliCPU), u.UsedMemoryMB, percentOfCap(u.UsedMemoryMB, u.CapMemoryMB),
					u.Waiting, u.HeldByCap, u.InExcess, u.OverShare, u.At.Format(time.TimeOnly))
			}
			return out.Flush()
		})
}

// percentOfCap returns a usage as a share of its cap, or a dash if there is no limit.
func percentOfCap(used, limit int64) string {
	if limit == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", 100*used/limit)
}

// logLinesCommand returns a subcommand that reads log lines from a file or from stdin.
func logLinesCommand(name, usage, help string, stdin io.Reader, exec func(*logread.Lines, []string) error) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	path := fs.String("lines", "-", "`file` with the lines of all machines; -: standard input")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "skylarkctl " + usage,
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)},
		Exec: func(_ context.Context, args []string) error {
			input := stdin
			if *path != "-" {
				file, err := os.Open(*path)
				if err != nil {
					return badInput("%s: %w", name, err)
				}
				defer file.Close()
				input = file
			}
			lines, err := logread.Read(input)
			if err != nil {
				return err
			}
			return exec(lines, args)
		},
	}
}

// writeStory prints the events of a job, its latencies and its outcome.
func writeStory(out io.Writer, s logread.JobTrace) error {
	for _, e := range s.Events {
		mark := " "
		if s.DecisiveEvent != nil && e.Number == s.DecisiveEvent.Number {
			mark = "*"
		}
		if _, err := fmt.Fprintf(out, "%s line %-7d %s  %s  %s\n", mark, e.Number, e.Time.Format("15:04:05.000"), e.Node, e.Describe()); err != nil {
			return err
		}
	}
	if s.TimeToEnd >= 0 {
		if _, err := fmt.Fprintf(out, "advised after %s, started after %s, ended after %s\n", formatElapsed(s.TimeToAdvice), formatElapsed(s.TimeToStart), formatElapsed(s.TimeToEnd)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "%s %s: %s\n", s.Job, s.Outcome, s.Cause)
	return err
}

// formatElapsed formats d. A negative d means that the event did not occur.
func formatElapsed(d time.Duration) string {
	if d < 0 {
		return "(not reached)"
	}
	return d.String()
}

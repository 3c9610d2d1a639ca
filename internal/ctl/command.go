package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/skylarklock/skylarklock/api"
)

// EnvPrefix is the prefix of environment variables that set flags, such as
// SKYLARKCTL_ENTRY.
const EnvPrefix = "SKYLARKCTL"

// command holds the dependencies of the subcommands.
type command struct {
	stdout io.Writer
	sleep  func(ctx context.Context, d time.Duration) error
}

// New returns the root command with its subcommands and the extra ones. Results
// are written to stdout, usage texts to stderr.
func New(stdout, stderr io.Writer, extra ...*ffcli.Command) *ffcli.Command {
	return newRoot(&command{stdout: stdout, sleep: sleep}, stderr, extra)
}

func newRoot(c *command, stderr io.Writer, extra []*ffcli.Command) *ffcli.Command {
	fs := flag.NewFlagSet("skylarkctl", flag.ContinueOnError)
	root := &ffcli.Command{
		ShortUsage: "skylarkctl <subcommand> [flags] [arguments]",
		ShortHelp:  "validates and publishes records, reads what the system reports",
		FlagSet:    fs,
		Exec:       func(context.Context, []string) error { return flag.ErrHelp },
		Subcommands: append([]*ffcli.Command{
			c.validate(), c.publish(), c.get(), c.unreadable(), c.status(), c.explain(),
		}, extra...),
	}
	setOutput(root, stderr)
	return root
}

// setOutput makes a command and its subcommands write their usage texts to w.
func setOutput(c *ffcli.Command, w io.Writer) {
	if c.FlagSet != nil {
		c.FlagSet.SetOutput(w)
	}
	for _, sub := range c.Subcommands {
		setOutput(sub, w)
	}
}

// entryCommand returns a subcommand that calls the operator service of an entry
// VM.
func (c *command) entryCommand(name, usage, help string, exec func(context.Context, *Client, []string) error) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	entries := fs.String("entry", "", "`URLs` of operators' listeners, http://IP:port, separated by commas")
	timeout := fs.Duration("timeout", 15*time.Second, "of one request")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "skylarkctl " + usage,
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			client, err := NewClient(strings.Split(*entries, ","), *timeout)
			if err != nil {
				return err
			}
			return exec(ctx, client, args)
		},
	}
}

func (c *command) status() *ffcli.Command {
	return c.entryCommand("status", "status -entry URL", "shows what an entry VM reports of itself",
		func(ctx context.Context, client *Client, _ []string) error {
			var out api.Status
			return c.show(ctx, client, "/v1/status", &out)
		})
}

func (c *command) unreadable() *ffcli.Command {
	return c.entryCommand("unreadable", "unreadable -entry URL", "lists records that the entry VM doesn't understand",
		func(ctx context.Context, client *Client, _ []string) error {
			var out []api.RecordState
			return c.show(ctx, client, "/v1/unreadable", &out)
		})
}

func (c *command) get() *ffcli.Command {
	return c.entryCommand("get", "get -entry URL [kind/name]", "shows one record with the revision in force, or all",
		func(ctx context.Context, client *Client, args []string) error {
			if len(args) == 0 {
				var all []api.RecordState
				return c.show(ctx, client, "/v1/config", &all)
			}
			kind, name, ok := strings.Cut(args[0], "/")
			if !ok || len(args) > 1 {
				return badInput("get: want one kind/name, got %q", args)
			}
			var out api.RecordState
			return c.show(ctx, client, "/v1/config/"+url.PathEscape(kind)+"/"+url.PathEscape(name), &out)
		})
}

func (c *command) explain() *ffcli.Command {
	return c.entryCommand("explain", "explain -entry URL job ID | task JOB INDEX", "says where a job or task stands, and why",
		func(ctx context.Context, client *Client, args []string) error {
			path, err := explainPath(args)
			if err != nil {
				return err
			}
			var out api.Explanation
			return c.show(ctx, client, path, &out)
		})
}

// explainPath returns the URL path for the arguments of the explain subcommand.
func explainPath(args []string) (string, error) {
	switch {
	case len(args) == 2 && args[0] == "job":
		return "/v1/explain/job/" + url.PathEscape(args[1]), nil
	case len(args) == 3 && args[0] == "task":
		if _, err := strconv.ParseUint(args[2], 10, 32); err != nil {
			return "", badInput("explain: index: %w", err)
		}
		return "/v1/explain/task/" + url.PathEscape(args[1]) + "/" + args[2], nil
	}
	return "", badInput("explain: want job ID or task JOB INDEX, got %q", args)
}

// show reads path into out and prints it as indented JSON.
func (c *command) show(ctx context.Context, client *Client, path string, out any) error {
	if err := client.Get(ctx, path, out); err != nil {
		return err
	}
	data, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "%s\n", data)
	return err
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Join(ctx.Err(), context.Cause(ctx))
	}
}

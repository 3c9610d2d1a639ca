package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/schema"
	"github.com/skylarklock/skylarklock/internal/settings"
)

// placedRecord is a record with the place it was read from.
type placedRecord struct {
	place  string
	record api.Record
}

// readFiles reads and checks the records of all files. The error is a
// *finding.List with every fault of every file.
func readFiles(files []string) ([]placedRecord, error) {
	if len(files) == 0 {
		return nil, badInput("no files given")
	}
	all := &finding.List{}
	var out []placedRecord
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, badInput("%w", err)
		}
		records, l := schema.CheckFile(file, data, schema.RejectUnknownSchema)
		all.Findings = append(all.Findings, l.Findings...)
		for i, rec := range records {
			out = append(out, placedRecord{place: fmt.Sprintf("%s[%d]", file, i), record: rec})
		}
	}
	return out, all.Err()
}

func (c *command) validate() *ffcli.Command {
	fs := flag.NewFlagSet("validate", flag.ContinueOnError)
	asSettings := fs.Bool("settings", false, "the files are settings of entry VMs, not records")
	return &ffcli.Command{
		Name:       "validate",
		ShortUsage: "skylarkctl validate [-settings] FILE...",
		ShortHelp:  "checks records or settings and reports every fault with its place",
		FlagSet:    fs,
		Exec: func(_ context.Context, files []string) error {
			if *asSettings {
				return c.validateSettings(files)
			}
			records, err := readFiles(files)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.stdout, "records=%d faults=0\n", len(records))
			return err
		},
	}
}

func (c *command) validateSettings(files []string) error {
	all := &finding.List{}
	for _, file := range files {
		_, err := settings.Load(file)
		var l *finding.List
		switch {
		case errors.As(err, &l):
			all.Findings = append(all.Findings, l.Findings...)
		case err != nil:
			return badInput("%w", err)
		}
	}
	if err := all.Err(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.stdout, "settings=%d faults=0\n", len(files))
	return err
}

func (c *command) publish() *ffcli.Command {
	var id string
	var attempts int
	cmd := c.remote("publish", "publish -entry URL FILE...", "publishes records, in order, until one isn't accepted",
		func(ctx context.Context, client *Client, files []string) error {
			records, err := readFiles(files)
			if err != nil {
				return err
			}
			for _, r := range records {
				if err := c.publishOne(ctx, client, id, attempts, r); err != nil {
					return err
				}
			}
			return nil
		})
	cmd.FlagSet.StringVar(&id, "publish-id", "", "tells this publication from another operator's identical record")
	cmd.FlagSet.IntVar(&attempts, "attempts", 5, "most tries for each record while its outcome is open")
	return cmd
}

// publishOne repeats the publication, on the next entry VM each time, until
// its outcome is known or the attempts are used up.
func (c *command) publishOne(ctx context.Context, client *Client, id string, attempts int, r placedRecord) error {
	attempts = max(attempts, 1)
	var last error
	open := false // an earlier attempt may still come to be accepted
	for i := range attempts {
		entry := client.entries[i%len(client.entries)]
		result, err := c.attempt(ctx, client, entry, id, r)
		if err == nil || result.final && !(open && result.aboutThisOnly) {
			return err
		}
		open = open || result.open
		if !result.final {
			last = err
		}
		if i+1 == attempts {
			break
		}
		if err := c.wait(ctx, result.pause); err != nil {
			return errors.Join(err, last)
		}
	}
	return fmt.Errorf("%s: gave up after %d attempts: %w; publishing the same file again settles it", r.place, attempts, last)
}

// attemptResult is what one failed attempt says of the record's outcome.
type attemptResult struct {
	final bool // nothing more is to be learned by repeating
	open  bool // it may have been written, and may land late
	// aboutThisOnly: the refusal is certain of this attempt's copy, not of an
	// earlier one. A conflict is certain of all copies only when a later
	// revision than the base is in force.
	aboutThisOnly bool
	pause         time.Duration // before the next attempt
}

// attempt publishes once.
func (c *command) attempt(ctx context.Context, client *Client, entry, id string, r placedRecord) (attemptResult, error) {
	p, err := client.Publish(ctx, entry, id, r.record)
	var final *ExitError
	if errors.As(err, &final) {
		return attemptResult{final: true}, err
	}
	if err != nil {
		return attemptResult{open: true, pause: defaultRetryAfter}, err
	}
	a := p.answer
	result := attemptResult{
		final:         p.retryAfter == 0,
		open:          a.Outcome == api.PublishUnsettled,
		aboutThisOnly: a.Outcome == api.PublishConflict && a.InForce <= r.record.BasedOn,
		pause:         p.retryAfter,
	}
	if result.pause == 0 {
		result.pause = defaultRetryAfter
	}
	return result, c.report(r, a)
}

// report prints the outcome on one line and returns the error it stands for.
func (c *command) report(r placedRecord, a api.PublishAnswer) error {
	if _, err := fmt.Fprintf(c.stdout, "place=%s key=%s/%s outcome=%s revision=%d in_force=%d\n",
		r.place, r.record.Kind, r.record.Name, a.Outcome, a.Revision, a.InForce); err != nil {
		return err
	}
	switch a.Outcome {
	case api.PublishAccepted:
		return nil
	case api.PublishConflict:
		return &ExitError{Code: ExitConflict, Err: fmt.Errorf("%s: %s", r.place, a.Detail)}
	case api.PublishInvalid:
		return invalid(r, a.Findings)
	}
	return fmt.Errorf("%s: %s: %s", r.place, a.Outcome, a.Detail)
}

func invalid(r placedRecord, found []api.Finding) error {
	l := &finding.List{}
	for _, f := range found {
		f.File = r.place
		l.Findings = append(l.Findings, finding.Finding(f))
	}
	return &ExitError{Code: ExitBadInput, Err: l}
}

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

// fileRecord is a record with its location, such as file.json[0].
type fileRecord struct {
	location string
	record   api.Record
}

// readFiles reads and checks the records of all files. If records are invalid, the
// error is a *finding.List with the findings of all files.
func readFiles(files []string) ([]fileRecord, error) {
	if len(files) == 0 {
		return nil, badInput("no files given")
	}
	all := &finding.List{}
	var out []fileRecord
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, badInput("%w", err)
		}
		records, l := schema.CheckFile(file, data, schema.RejectUnknownSchema)
		all.Findings = append(all.Findings, l.Findings...)
		for i, rec := range records {
			out = append(out, fileRecord{location: fmt.Sprintf("%s[%d]", file, i), record: rec})
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
	cmd := c.entryCommand("publish", "publish -entry URL FILE...", "publishes records, in order, until one isn't accepted",
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

// publishOne publishes a record and retries, each time through the next entry VM,
// until the outcome is known or the attempts are exhausted.
func (c *command) publishOne(ctx context.Context, client *Client, id string, attempts int, r fileRecord) error {
	attempts = max(attempts, 1)
	var lastErr error
	mayBeAccepted := false // an earlier attempt may still be accepted
	for i := range attempts {
		entry := client.entries[i%len(client.entries)]
		result, err := c.attemptPublish(ctx, client, entry, id, r)
		if err == nil || result.final && !(mayBeAccepted && result.coversThisAttemptOnly) {
			return err
		}
		mayBeAccepted = mayBeAccepted || result.mayBeAccepted
		if !result.final {
			lastErr = err
		}
		if i+1 == attempts {
			break
		}
		if err := c.sleep(ctx, result.retryDelay); err != nil {
			return errors.Join(err, lastErr)
		}
	}
	return fmt.Errorf("%s: gave up after %d attempts: %w; publish the same file again to learn the outcome", r.location, attempts, lastErr)
}

// attemptResult describes what one attempt reveals about the outcome of a
// publication.
type attemptResult struct {
	final         bool // a retry would give no new information
	mayBeAccepted bool // the record may have been written, and may be accepted later
	// coversThisAttemptOnly is true if the refusal is certain for the copy of
	// this attempt, but not for copies of earlier attempts. A conflict holds
	// for all copies only if the revision in force is later than the one that
	// the record is based on.
	coversThisAttemptOnly bool
	retryDelay            time.Duration // delay before the next attempt
}

// attemptPublish publishes the record once and reports the outcome.
func (c *command) attemptPublish(ctx context.Context, client *Client, entry, id string, r fileRecord) (attemptResult, error) {
	p, err := client.Publish(ctx, entry, id, r.record)
	var final *ExitError
	if errors.As(err, &final) {
		return attemptResult{final: true}, err
	}
	if err != nil {
		return attemptResult{mayBeAccepted: true, retryDelay: defaultRetryAfter}, err
	}
	a := p.answer
	result := attemptResult{
		final:                 p.retryAfter == 0,
		mayBeAccepted:         a.Outcome == api.PublishUnsettled,
		coversThisAttemptOnly: a.Outcome == api.PublishConflict && a.InForce <= r.record.BasedOn,
		retryDelay:            p.retryAfter,
	}
	if result.retryDelay == 0 {
		result.retryDelay = defaultRetryAfter
	}
	return result, c.reportOutcome(r, a)
}

// reportOutcome prints the outcome on one line and returns the corresponding
// error, or nil if the record was accepted.
func (c *command) reportOutcome(r fileRecord, a api.PublishAnswer) error {
	if _, err := fmt.Fprintf(c.stdout, "place=%s key=%s/%s outcome=%s revision=%d in_force=%d\n",
		r.location, r.record.Kind, r.record.Name, a.Outcome, a.Revision, a.InForce); err != nil {
		return err
	}
	switch a.Outcome {
	case api.PublishAccepted:
		return nil
	case api.PublishConflict:
		return &ExitError{Code: ExitConflict, Err: fmt.Errorf("%s: %s", r.location, a.Detail)}
	case api.PublishInvalid:
		return invalidRecordError(r, a.Findings)
	}
	return fmt.Errorf("%s: %s: %s", r.location, a.Outcome, a.Detail)
}

// invalidRecordError returns the findings of an entry VM as an error with
// ExitBadInput.
func invalidRecordError(r fileRecord, findings []api.Finding) error {
	l := &finding.List{}
	for _, f := range findings {
		f.File = r.location
		l.Findings = append(l.Findings, finding.Finding(f))
	}
	return &ExitError{Code: ExitBadInput, Err: l}
}

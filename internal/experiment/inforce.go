package experiment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
)

// publicationsPerPhase is the number of records published for each fault.
const publicationsPerPhase = 20

// revisionPollInterval is the time between two checks of the revisions in force.
const revisionPollInterval = time.Millisecond

// measureInForce measures the time from the start of a publication until the
// record is in force on every entry VM.
func measureInForce(ctx context.Context, cfg Config, r *resultTable) error {
	c, err := startCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	for _, p := range []struct {
		name  string
		fault func()
	}{
		{"sound", func() {}},
		{"answer lost", func() { c.Site.Log.SetFaults(logserver.Faults{Delay: cfg.LogDelay, LoseAnswers: 1}) }},
		{"answer lost, an entry VM dies", func() {
			c.Site.Log.SetFaults(logserver.Faults{Delay: cfg.LogDelay, LoseAnswers: 1})
			c.abortLastEntry()
		}},
	} {
		if err := c.timePublications(ctx, p.name, p.fault, r); err != nil {
			return err
		}
	}
	return nil
}

// abortLastEntry ends the last running entry VM without a drain.
func (c *cell) abortLastEntry() {
	if len(c.Entries) < 2 {
		return
	}
	last := c.Entries[len(c.Entries)-1]
	last.Node.Abort()
	c.Entries = c.Entries[:len(c.Entries)-1]
	<-last.Done
}

// timePublications publishes records one after the other and notes the median and
// the longest time until each was in force. A lost answer precedes every
// publication, the death of an entry VM only the first.
func (c *cell) timePublications(ctx context.Context, name string, fault func(), r *resultTable) error {
	var durations []time.Duration
	for i := range publicationsPerPhase {
		if i == 0 || name == "answer lost" {
			fault()
		}
		start := time.Now()
		caller := fmt.Sprintf("caller-%d-%d", start.UnixNano(), i)
		if err := c.publish(ctx, api.KindLimits, caller, map[string]any{"rate_per_second": 100}); err != nil {
			return err
		}
		if err := c.awaitRevision(ctx, c.Entries[0].Node.Status().Revision); err != nil {
			return err
		}
		durations = append(durations, time.Since(start))
	}
	slices.Sort(durations)
	median, longest := durations[len(durations)/2], durations[len(durations)-1]
	r.note("in force on %d entry VMs, %s: median %v, longest %v of %d", len(c.Entries), name, median, longest, publicationsPerPhase)
	return nil
}

// awaitRevision waits until a revision is in force on every entry VM.
func (c *cell) awaitRevision(ctx context.Context, revision api.Revision) error {
	for _, e := range c.Entries {
		for e.Node.Status().Revision < revision {
			if !sleep(ctx, revisionPollInterval) {
				return ctx.Err()
			}
		}
	}
	return nil
}

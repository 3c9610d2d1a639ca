package experiment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
)

// publications is the number of records published in each phase.
const publications = 20

// revisionPoll is the time between two looks at the revisions in force.
const revisionPoll = time.Millisecond

// inForce measures the time from the start of a publication to the moment at
// which every entry VM has the record in force.
func inForce(ctx context.Context, cfg Config, r *report) error {
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
			c.killLast()
		}},
	} {
		if err := c.measureInForce(ctx, p.name, p.fault, r); err != nil {
			return err
		}
	}
	return nil
}

// killLast ends the last entry VM that runs without a drain.
func (c *cell) killLast() {
	if len(c.Entries) < 2 {
		return
	}
	last := c.Entries[len(c.Entries)-1]
	last.Node.Abort()
	c.Entries = c.Entries[:len(c.Entries)-1]
	<-last.Done
}

// measureInForce publishes records one after the other, each under the fault,
// and notes the median and the longest time. Only the first is preceded by a
// death.
func (c *cell) measureInForce(ctx context.Context, name string, fault func(), r *report) error {
	var took []time.Duration
	for i := range publications {
		if i == 0 || name == "answer lost" {
			fault()
		}
		start := time.Now()
		caller := fmt.Sprintf("caller-%d-%d", start.UnixNano(), i)
		if err := c.publish(ctx, api.KindLimits, caller, map[string]any{"rate_per_second": 100}); err != nil {
			return err
		}
		if err := c.inForceAt(ctx, c.Entries[0].Node.Status().Revision); err != nil {
			return err
		}
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	median, longest := took[len(took)/2], took[len(took)-1]
	r.note("in force on %d entry VMs, %s: median %v, longest %v of %d", len(c.Entries), name, median, longest, publications)
	return nil
}

// inForceAt waits until every entry VM has a revision in force.
func (c *cell) inForceAt(ctx context.Context, revision api.Revision) error {
	for _, e := range c.Entries {
		for e.Node.Status().Revision < revision {
			if !pause(ctx, revisionPoll) {
				return ctx.Err()
			}
		}
	}
	return nil
}

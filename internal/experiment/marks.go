package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/skylarklock/skylarklock/internal/load"
	"github.com/skylarklock/skylarklock/internal/router"
)

// markRates are requests a second at each entry VM.
var markRates = []float64{5, 50, 200, 500}

// marks measures what the mark in the log adds to a request, by rate.
func marks(ctx context.Context, cfg Config, r *report) error {
	cfg.ServiceTime = quick
	cfg.Policies = []string{router.PolicyLeastLoaded}
	cfg.PerEntry = true
	c, err := startWarmCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	for _, rate := range markRates {
		idempotent := c.stream(cfg.Policies[0], rate*float64(len(c.Entries)))
		marked := idempotent
		marked.Idempotent = false
		plain, err := c.run(ctx, phase{streams: []load.Stream{idempotent}, from: cfg.duration() / 5})
		if err != nil {
			return err
		}
		before, started := c.Site.Log.Stats(), time.Now()
		o, err := c.run(ctx, phase{streams: []load.Stream{marked}, from: cfg.duration() / 5})
		if err != nil {
			return err
		}
		after, took := c.Site.Log.Stats(), time.Since(started).Seconds()
		r.add(fmt.Sprintf("%g/s idempotent", rate), plain)
		r.add(fmt.Sprintf("%g/s marked", rate), o)
		r.note("%g/s: the mark adds p50=%s p99=%s; log: %.0f appends/s, %.0f bytes each", rate,
			quantile(o.tallies[0].ran, 50)-quantile(plain.tallies[0].ran, 50),
			quantile(o.tallies[0].ran, 99)-quantile(plain.tallies[0].ran, 99),
			float64(after.Appends-before.Appends)/took,
			float64(after.AppendBytes-before.AppendBytes)/float64(max(after.Appends-before.Appends, 1)))
	}
	return nil
}

package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/skylarklock/skylarklock/internal/load"
	"github.com/skylarklock/skylarklock/internal/router"
)

// markRates are the offered loads, in requests per second at each entry VM.
var markRates = []float64{5, 50, 200, 500}

// measureMarks measures the latency that the mark in the log adds to a request, at
// several rates.
func measureMarks(ctx context.Context, cfg Config, r *resultTable) error {
	cfg.ServiceTime = shortServiceTime
	cfg.Policies = []string{router.PolicyLeastLoaded}
	cfg.PerEntry = true
	c, err := startWarmCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	for _, rate := range markRates {
		idempotent := c.newStream(cfg.Policies[0], rate*float64(len(c.Entries)))
		marked := idempotent
		marked.Idempotent = false
		idempotentResult, err := c.runPhase(ctx, phase{streams: []load.Stream{idempotent}, countFrom: cfg.phaseDuration() / 5})
		if err != nil {
			return err
		}
		before, started := c.Site.Log.Stats(), time.Now()
		markedResult, err := c.runPhase(ctx, phase{streams: []load.Stream{marked}, countFrom: cfg.phaseDuration() / 5})
		if err != nil {
			return err
		}
		after, took := c.Site.Log.Stats(), time.Since(started).Seconds()
		r.addPhase(fmt.Sprintf("%g/s idempotent", rate), idempotentResult)
		r.addPhase(fmt.Sprintf("%g/s marked", rate), markedResult)
		r.note("%g/s: the mark adds p50=%s p99=%s; log: %.0f appends/s, %.0f bytes each", rate,
			quantile(markedResult.statsByStream[0].ranLatency, 50)-quantile(idempotentResult.statsByStream[0].ranLatency, 50),
			quantile(markedResult.statsByStream[0].ranLatency, 99)-quantile(idempotentResult.statsByStream[0].ranLatency, 99),
			float64(after.Appends-before.Appends)/took,
			float64(after.AppendBytes-before.AppendBytes)/float64(max(after.Appends-before.Appends, 1)))
	}
	return nil
}

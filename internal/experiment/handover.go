package experiment

import (
	"context"
	"fmt"

	"github.com/skylarklock/skylarklock/internal/load"
)

// handoverLoadFactors are the offered loads, as multiples of the request capacity.
var handoverLoadFactors = []float64{0.5, 0.7, 0.9}

// measureHandover measures how often a peer that has free slots according to its
// latest heartbeat refuses or loses a request that is handed over to it.
func measureHandover(ctx context.Context, cfg Config, r *resultTable) error {
	c, err := startWarmCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	for _, factor := range handoverLoadFactors {
		name := fmt.Sprintf("%gx", factor)
		s := c.newStream(cfg.Policies[0], factor*cfg.requestCapacity())
		result, err := c.runPhase(ctx, phase{streams: []load.Stream{s}, countFrom: cfg.phaseDuration() / 5})
		if err != nil {
			return err
		}
		r.addPhase(name, result)
		refused := result.forwarded - result.answeredHandovers
		r.note("%s: %d of %d hand-overs refused or lost (%.2f%%)", name, refused, result.forwarded,
			100*float64(refused)/float64(max(result.forwarded, 1)))
	}
	return nil
}

package experiment

import (
	"context"
	"fmt"

	"github.com/skylarklock/skylarklock/internal/load"
)

// handoverLoads are the loads offered, as multiples of the slots' capacity.
var handoverLoads = []float64{0.5, 0.7, 0.9}

// handover measures how often a peer with room, by its latest heartbeat,
// refuses what is handed over to it.
func handover(ctx context.Context, cfg Config, r *report) error {
	c, err := startWarmCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	for _, factor := range handoverLoads {
		name := fmt.Sprintf("%gx", factor)
		s := c.stream(cfg.Policies[0], factor*cfg.capacity())
		o, err := c.run(ctx, phase{streams: []load.Stream{s}, from: cfg.duration() / 5})
		if err != nil {
			return err
		}
		r.add(name, o)
		refused := o.forwarded - o.answered
		r.note("%s: %d of %d hand-overs refused or lost (%.2f%%)", name, refused, o.forwarded,
			100*float64(refused)/float64(max(o.forwarded, 1)))
	}
	return nil
}

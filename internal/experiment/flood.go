package experiment

import (
	"context"

	"github.com/skylarklock/skylarklock/internal/load"
)

const (
	quietShare = 0.2 // load of the measured caller, as a share of the request capacity
	floodShare = 3   // load of the flooding caller, as a multiple of the request capacity
)

// measureFlood measures the traffic of one caller alone, and together with that of
// a caller that floods the cell.
func measureFlood(ctx context.Context, cfg Config, r *resultTable) error {
	c, err := startWarmCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	for _, policy := range cfg.Policies {
		quiet := c.newStream(policy, quietShare*cfg.requestCapacity())
		quiet.Caller = "quiet"
		flooding := c.newStream(policy, floodShare*cfg.requestCapacity())
		flooding.Caller = "flooding"
		for _, p := range []phase{
			{name: policy + " alone", streams: []load.Stream{quiet}},
			{name: policy + " beside a flood,", streams: []load.Stream{quiet, flooding}},
		} {
			p.countFrom = cfg.phaseDuration() / 5
			result, err := c.runPhase(ctx, p)
			if err != nil {
				return err
			}
			r.addPhase(p.name, result)
		}
	}
	return nil
}

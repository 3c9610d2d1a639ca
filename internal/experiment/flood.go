package experiment

import (
	"context"

	"github.com/skylarklock/skylarklock/internal/load"
)

const (
	quietShare = 0.2 // of the capacity, of the caller that is measured
	floodShare = 3   // of the capacity, of the caller that floods
)

// flood measures one caller alone and beside one that floods.
func flood(ctx context.Context, cfg Config, r *report) error {
	c, err := startWarmCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	for _, policy := range cfg.Policies {
		quiet := c.stream(policy, quietShare*cfg.capacity())
		quiet.Caller = "quiet"
		flooding := c.stream(policy, floodShare*cfg.capacity())
		flooding.Caller = "flooding"
		for _, p := range []phase{
			{name: policy + " alone", streams: []load.Stream{quiet}},
			{name: policy + " beside a flood,", streams: []load.Stream{quiet, flooding}},
		} {
			p.from = cfg.duration() / 5
			o, err := c.run(ctx, p)
			if err != nil {
				return err
			}
			r.add(p.name, o)
		}
	}
	return nil
}

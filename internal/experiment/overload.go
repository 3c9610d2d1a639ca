package experiment

import (
	"context"
	"fmt"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/load"
)

// overloads are the loads offered, as multiples of the slots' capacity.
var overloads = []float64{1, 1.5, 2, 4}

// overload offers more than the slots can serve and looks at what is kept of
// the goodput, and how soon the rest is refused.
func overload(ctx context.Context, cfg Config, r *report) error {
	c, err := startWarmCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	for _, policy := range cfg.Policies {
		for _, factor := range overloads {
			s := c.stream(policy, factor*cfg.capacity())
			o, err := c.run(ctx, phase{streams: []load.Stream{s}, from: cfg.duration() / 5})
			if err != nil {
				return err
			}
			r.add(fmt.Sprintf("%s %gx", policy, factor), o)
		}
	}
	return nil
}

// stream is idempotent, interactive traffic to a policy's service.
func (c *cell) stream(policy string, rate float64) load.Stream {
	return load.Stream{
		Caller: "workshop", Class: string(api.ClassInteractive), Service: serviceOf(policy), Path: "/sweep",
		Rate: rate, Idempotent: true, BodyBytes: 512, Timeout: c.cfg.Timeout,
	}
}

// warmUpRate bounds the load of the warm-up, requests per second.
const warmUpRate = 500

// warmUp opens connections and fills the averages of every service.
func (c *cell) warmUp(ctx context.Context) error {
	for _, policy := range c.cfg.Policies {
		s := c.stream(policy, min(0.3*c.cfg.capacity(), warmUpRate))
		if _, err := c.run(ctx, phase{streams: []load.Stream{s}}); err != nil {
			return err
		}
	}
	return nil
}

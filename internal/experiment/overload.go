package experiment

import (
	"context"
	"fmt"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/load"
)

// overloadFactors are the offered loads, as multiples of the request capacity.
var overloadFactors = []float64{1, 1.5, 2, 4}

// measureOverload offers more requests than the executors can run. It measures the
// remaining goodput and how soon the other requests are refused.
func measureOverload(ctx context.Context, cfg Config, r *resultTable) error {
	c, err := startWarmCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	for _, policy := range cfg.Policies {
		for _, factor := range overloadFactors {
			s := c.newStream(policy, factor*cfg.requestCapacity())
			result, err := c.runPhase(ctx, phase{streams: []load.Stream{s}, countFrom: cfg.phaseDuration() / 5})
			if err != nil {
				return err
			}
			r.addPhase(fmt.Sprintf("%s %gx", policy, factor), result)
		}
	}
	return nil
}

// newStream returns a stream of idempotent, interactive requests to the service of
// a policy, at a rate in requests per second.
func (c *cell) newStream(policy string, rate float64) load.Stream {
	return load.Stream{
		Caller: "workshop", Class: string(api.ClassInteractive), Service: serviceName(policy), Path: "/sweep",
		Rate: rate, Idempotent: true, BodyBytes: 512, Timeout: c.cfg.Timeout,
	}
}

// maxWarmUpRate limits the load of the warm-up, in requests per second.
const maxWarmUpRate = 500

// warmUp runs a low load so that connections are open and the averages of every
// service have values.
func (c *cell) warmUp(ctx context.Context) error {
	for _, policy := range c.cfg.Policies {
		s := c.newStream(policy, min(0.3*c.cfg.requestCapacity(), maxWarmUpRate))
		if _, err := c.runPhase(ctx, phase{streams: []load.Stream{s}}); err != nil {
			return err
		}
	}
	return nil
}

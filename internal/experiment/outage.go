package experiment

import (
	"context"

	"github.com/skylarklock/skylarklock/internal/load"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
)

// measureOutage measures a load before, during and after an outage of the log.
func measureOutage(ctx context.Context, cfg Config, r *resultTable) error {
	c, err := startWarmCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	policy := cfg.Policies[0]
	idempotent := c.newStream(policy, steadyShare*cfg.requestCapacity()/2)
	idempotent.Caller = "idempotent"
	marked := c.newStream(policy, steadyShare*cfg.requestCapacity()/2)
	marked.Caller, marked.Idempotent = "non-idempotent", false
	streams := []load.Stream{idempotent, marked}
	for _, p := range []struct {
		name   string
		faults logserver.Faults
	}{
		{"log up,", logserver.Faults{Delay: cfg.LogDelay}},
		{"log down,", logserver.Faults{Down: true}},
		{"log up again,", logserver.Faults{Delay: cfg.LogDelay}},
	} {
		c.Site.Log.SetFaults(p.faults)
		result, err := c.runPhase(ctx, phase{streams: streams})
		if err != nil {
			return err
		}
		r.addPhase(p.name, result)
	}
	return nil
}
